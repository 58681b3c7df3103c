package classify

import (
	"slices"
	"strings"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// adapterSeparator separates the name of a model from that of its adapter.
const adapterSeparator = ":"

// setModel scans the body and sets call.Inference. It refuses models that are not
// served or not allowed for the team, and prompts and answers that are too long.
func setModel(call *filter.Call) error {
	fields, err := scan(call.Body.Bytes(), call.Kind)
	if err != nil {
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "%s", err)
	}
	if err := setServedModel(call, fields.model); err != nil {
		return err
	}
	inference := &call.Inference
	inference.Stream = fields.stream
	maxPrefixBytes := backendapi.MaxPrefixBlocks * backendapi.BlockTokens * max(inference.Model.BytesPerToken, 1)
	inference.Prefix = prefixText(fields.prompt, call.Kind, maxPrefixBytes)
	inference.PromptTokens = estimateTokens(int64(len(fields.prompt)), inference.Model.BytesPerToken)
	if err := setAnswerTokens(call, fields.maxTokens); err != nil {
		return err
	}
	return setClass(call)
}

// setServedModel sets the model and the adapter that name gives as "model" or
// "model:adapter".
func setServedModel(call *filter.Call, name string) error {
	base, adapter, _ := strings.Cut(name, adapterSeparator)
	for i := range call.Bundle.Bundle.Models {
		model := &call.Bundle.Bundle.Models[i]
		if model.Name != base {
			continue
		}
		if adapter != "" && !slices.ContainsFunc(model.Adapters, func(a bundle.Adapter) bool { return a.Name == adapter }) {
			break
		}
		if !slices.Contains(call.Team.Models, base) {
			return request.Errorf(request.CodeForbidden, request.NotRun, "the team %s may not use the model %q", call.Team.Name, base)
		}
		call.Inference.Model, call.Inference.Adapter = model, adapter
		return nil
	}
	return request.Errorf(request.CodeModelNotFound, request.NotRun, "the model %q is not served", name)
}

// estimateTokens returns the estimated number of tokens in length bytes, rounded up.
func estimateTokens(length int64, bytesPerToken int) int64 {
	perToken := int64(max(bytesPerToken, 1))
	return (length + perToken - 1) / perToken
}

// setAnswerTokens sets the maximum length of the answer. When the caller requested 0
// tokens, that is, gave none, it is the rest of the model's context, within the limit
// of the bundle.
func setAnswerTokens(call *filter.Call, requested int64) error {
	maxTokens := call.Bundle.Bundle.Limits.MaxAnswerTokens
	if requested > maxTokens {
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "max_tokens must be at most %d", maxTokens)
	}
	if requested == 0 {
		contextLeft := call.Inference.Model.ContextTokens - call.Inference.PromptTokens
		requested = max(min(maxTokens, contextLeft), 1)
	}
	call.Inference.AnswerTokens = requested
	return nil
}

// setClass sets the first class of the bundle whose maximum prompt length is not
// exceeded. The classes are in ascending order.
func setClass(call *filter.Call) error {
	tokens := call.Inference.PromptTokens
	if tokens+call.Inference.AnswerTokens > call.Inference.Model.ContextTokens {
		return request.Errorf(request.CodePromptTooLong, request.NotRun,
			"the prompt of about %d tokens and the answer exceed the %d tokens of the model", tokens, call.Inference.Model.ContextTokens)
	}
	classes := call.Bundle.Bundle.Classes
	for i := range classes {
		if tokens <= classes[i].MaxPromptTokens {
			call.Inference.Class = &classes[i]
			return nil
		}
	}
	return request.Errorf(request.CodePromptTooLong, request.NotRun,
		"the prompt of about %d tokens is longer than the largest class", tokens)
}
