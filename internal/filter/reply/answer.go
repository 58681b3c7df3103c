package reply

import (
	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// answer is a completion in the format of the OpenAI API, or one event of its stream.
type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

const assistantRole = "assistant"

// newAnswer returns an answer, or an event, with text. The finishReason is nil for all
// events but the last. The first event of a chat stream has the role.
func newAnswer(call *filter.Call, text string, finishReason *string) *answer {
	result := &answer{ID: call.ID, Created: call.Received.Unix(), Model: call.Inference.Model.Name}
	first := choice{FinishReason: finishReason}
	switch {
	case call.Kind == request.KindCompletion:
		result.Object = "text_completion"
		first.Text = &text
	case call.Inference.Stream:
		result.Object = "chat.completion.chunk"
		first.Delta = &message{Content: text}
		if !call.Reply.Started {
			first.Delta.Role = assistantRole
		}
	default:
		result.Object = "chat.completion"
		first.Message = &message{Role: assistantRole, Content: text}
	}
	result.Choices = []choice{first}
	return result
}

// newUsage returns the token counts of the answer. The prompt tokens are the engine's.
func newUsage(call *filter.Call, endMark backendapi.Chunk) *usage {
	return &usage{
		PromptTokens:     endMark.PromptTokens,
		CompletionTokens: call.VerifiedTokens,
		TotalTokens:      endMark.PromptTokens + call.VerifiedTokens,
	}
}
