package classify

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"godwityoke.example/godwityoke/internal/request"
)

// scanned is what the request path needs of a caller's body.
type scanned struct {
	model     string
	stream    bool
	maxTokens int64
	// prompt is the part of the body between the quotes of "prompt", or the
	// array of "messages".
	prompt []byte
}

var errRepeated = errors.New("the key is repeated")

// once is the raw value of a key that may stand once. It refers to the body
// and copies nothing: encoding/json hands UnmarshalJSON a part of its input.
type once struct {
	raw  []byte
	seen bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *once) UnmarshalJSON(raw []byte) error {
	if o.seen {
		return errRepeated
	}
	o.raw, o.seen = raw, true
	return nil
}

// body lists the keys that matter. All other keys are checked for syntax and
// skipped.
type body struct {
	Model               once `json:"model"`
	Prompt              once `json:"prompt"`
	Messages            once `json:"messages"`
	Stream              once `json:"stream"`
	MaxTokens           once `json:"max_tokens"`
	MaxCompletionTokens once `json:"max_completion_tokens"`
	Choices             once `json:"n"`
	BestOf              once `json:"best_of"`
}

// scan finds the fields of a completion or chat body without decoding the
// prompt.
func scan(data []byte, kind request.Kind) (scanned, error) {
	var parsed body
	if err := json.Unmarshal(data, &parsed); err != nil {
		return scanned{}, fmt.Errorf("the body is not a valid JSON object: %w", err)
	}
	var result scanned
	err := errors.Join(
		parsed.Model.decode("model", "a string", &result.model, true),
		parsed.Stream.decode("stream", "true or false", &result.stream, false),
		parsed.single(),
		parsed.maxTokens(&result.maxTokens),
		parsed.prompt(kind, &result.prompt),
	)
	return result, err
}

func (o once) decode(name, allowed string, target any, required bool) error {
	if !o.seen || string(o.raw) == "null" {
		if required {
			return fmt.Errorf("%s is required", name)
		}
		return nil
	}
	if err := json.Unmarshal(o.raw, target); err != nil {
		return fmt.Errorf("%s must be %s", name, allowed)
	}
	return nil
}

// single refuses bodies that ask for more than one answer.
func (b body) single() error {
	for _, asked := range []struct {
		name  string
		value once
	}{{"n", b.Choices}, {"best_of", b.BestOf}} {
		count := int64(1)
		if err := asked.value.decode(asked.name, "1", &count, false); err != nil {
			return err
		}
		if count != 1 {
			return fmt.Errorf("%s must be 1", asked.name)
		}
	}
	return nil
}

func (b body) maxTokens(target *int64) error {
	for _, asked := range []struct {
		name  string
		value once
	}{{"max_tokens", b.MaxTokens}, {"max_completion_tokens", b.MaxCompletionTokens}} {
		count := int64(0)
		if err := asked.value.decode(asked.name, "a whole number above 0", &count, false); err != nil {
			return err
		}
		if asked.value.seen && string(asked.value.raw) != "null" && count < 1 {
			return fmt.Errorf("%s must be a whole number above 0", asked.name)
		}
		*target = max(*target, count)
	}
	return nil
}

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
