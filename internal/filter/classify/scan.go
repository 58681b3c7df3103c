package classify

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"godwityoke.example/godwityoke/internal/request"
)

// bodyFields holds the values of a caller's body that the request path uses.
type bodyFields struct {
	model     string
	stream    bool
	maxTokens int64
	// prompt is the part of the body between the quotes of "prompt", or the
	// array of "messages".
	prompt []byte
}

var errRepeatedKey = errors.New("the key is repeated")

// uniqueKey is the raw value of a key that may occur only once. It is a slice of the
// body, not a copy: encoding/json passes UnmarshalJSON a slice of its input.
type uniqueKey struct {
	raw  []byte
	seen bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (k *uniqueKey) UnmarshalJSON(raw []byte) error {
	if k.seen {
		return errRepeatedKey
	}
	k.raw, k.seen = raw, true
	return nil
}

// body lists the keys that the request path uses. Other keys are checked for syntax
// and skipped.
type body struct {
	Model               uniqueKey `json:"model"`
	Prompt              uniqueKey `json:"prompt"`
	Messages            uniqueKey `json:"messages"`
	Stream              uniqueKey `json:"stream"`
	MaxTokens           uniqueKey `json:"max_tokens"`
	MaxCompletionTokens uniqueKey `json:"max_completion_tokens"`
	Choices             uniqueKey `json:"n"`
	BestOf              uniqueKey `json:"best_of"`
}

// scan returns the fields of a completion or chat body without decoding the prompt.
// Its errors are shown to the caller.
func scan(data []byte, kind request.Kind) (bodyFields, error) {
	var parsed body
	if err := json.Unmarshal(data, &parsed); err != nil {
		return bodyFields{}, fmt.Errorf("the body is not a valid JSON object: %w", err)
	}
	var result bodyFields
	err := errors.Join(
		parsed.Model.decode("model", "a string", &result.model, true),
		parsed.Stream.decode("stream", "true or false", &result.stream, false),
		parsed.checkSingleAnswer(),
		parsed.maxTokens(&result.maxTokens),
		parsed.prompt(kind, &result.prompt),
	)
	return result, err
}

// decode stores the value in target. An absent key or null leaves target unchanged,
// and is an error if required is true. The text allowed describes valid values.
func (k uniqueKey) decode(name, allowed string, target any, required bool) error {
	if !k.seen || string(k.raw) == "null" {
		if required {
			return fmt.Errorf("%s is required", name)
		}
		return nil
	}
	if err := json.Unmarshal(k.raw, target); err != nil {
		return fmt.Errorf("%s must be %s", name, allowed)
	}
	return nil
}

// checkSingleAnswer returns an error for bodies that request more than one answer.
func (b body) checkSingleAnswer() error {
	for _, field := range []struct {
		name  string
		value uniqueKey
	}{{"n", b.Choices}, {"best_of", b.BestOf}} {
		count := int64(1)
		if err := field.value.decode(field.name, "1", &count, false); err != nil {
			return err
		}
		if count != 1 {
			return fmt.Errorf("%s must be 1", field.name)
		}
	}
	return nil
}

// maxTokens stores the larger of max_tokens and max_completion_tokens in target, or
// leaves it unchanged when the body has neither.
func (b body) maxTokens(target *int64) error {
	for _, field := range []struct {
		name  string
		value uniqueKey
	}{{"max_tokens", b.MaxTokens}, {"max_completion_tokens", b.MaxCompletionTokens}} {
		count := int64(0)
		if err := field.value.decode(field.name, "a whole number above 0", &count, false); err != nil {
			return err
		}
		if field.value.seen && string(field.value.raw) != "null" && count < 1 {
			return fmt.Errorf("%s must be a whole number above 0", field.name)
		}
		*target = max(*target, count)
	}
	return nil
}

// prompt stores the raw prompt in target; see bodyFields.prompt.
func (b body) prompt(kind request.Kind, target *[]byte) error {
	if kind == request.KindChat {
		if !bytes.HasPrefix(b.Messages.raw, []byte("[")) || len(b.Messages.raw) <= len("[]") {
			return errors.New("messages must be an array that is not empty")
		}
		*target = b.Messages.raw
		return nil
	}
	if !bytes.HasPrefix(b.Prompt.raw, []byte(`"`)) || len(b.Prompt.raw) <= len(`""`) {
		return errors.New("prompt must be a string that is not empty")
	}
	*target = b.Prompt.raw[1 : len(b.Prompt.raw)-1]
	return nil
}
