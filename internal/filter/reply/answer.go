package reply

import (
	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// answer is an OpenAI-shaped completion, or one event of it.
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

// newAnswer returns an answer with text. FinishReason is nil before the end.
func newAnswer(call *filter.Call, text string, finishReason *string) *answer {
	result := &answer{ID: call.ID, Created: call.Received.Unix(), Model: call.Inference.Model.Name}
	one := choice{FinishReason: finishReason}
	switch {
	case call.Kind == request.KindCompletion:
		result.Object = "text_completion"
		one.Text = &text
	case call.Inference.Stream:
		result.Object = "chat.completion.chunk"
		one.Delta = &message{Content: text}
		if !call.Reply.Started {
			one.Delta.Role = assistantRole
		}
	default:
		result.Object = "chat.completion"
		one.Message = &message{Role: assistantRole, Content: text}
	}
	result.Choices = []choice{one}
	return result
}

func newUsage(call *filter.Call, end backendapi.Chunk) *usage {
	return &usage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: call.VerifiedTokens,
		TotalTokens:      end.PromptTokens + call.VerifiedTokens,
	}
}
