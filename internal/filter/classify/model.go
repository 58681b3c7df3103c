package classify

import (
	"slices"
	"strings"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// adapterSeparator stands between the names of a model and of its adapter.
const adapterSeparator = ":"

// setModel scans the body and checks what it asks for.
func setModel(call *filter.Call) error {
	fields, err := scan(call.Body.Bytes(), call.Kind)
	if err != nil {
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "%s", err)
	}
	if err := findModel(call, fields.model); err != nil {
		return err
	}
	model := &call.Inference
	model.Stream = fields.stream
	most := backendapi.MaxPrefixBlocks * backendapi.BlockTokens * max(model.Model.BytesPerToken, 1)
	model.Prefix = prefixText(fields.prompt, call.Kind, most)
	model.PromptTokens = tokensOf(int64(len(fields.prompt)), model.Model.BytesPerToken)
	if err := setAnswerTokens(call, fields.maxTokens); err != nil {
		return err
	}
	return setClass(call)
}

func findModel(call *filter.Call, name string) error {
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

// tokensOf estimates a prompt length, rounded up.
func tokensOf(length int64, bytesPerToken int) int64 {
	perToken := int64(max(bytesPerToken, 1))
	return (length + perToken - 1) / perToken
}

func setAnswerTokens(call *filter.Call, asked int64) error {
	most := call.Bundle.Bundle.Limits.MaxAnswerTokens
	if asked > most {
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "max_tokens must be at most %d", most)
	}
	if asked == 0 {
		room := call.Inference.Model.ContextTokens - call.Inference.PromptTokens
		asked = max(min(most, room), 1)
	}
	call.Inference.AnswerTokens = asked
	return nil
}

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
