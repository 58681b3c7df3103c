package cluster

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/sashabaranov/go-openai"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/settings"
)

// TestPublicClientLibrary checks that a public client library of the callers' protocol works with
// an entry VM: the list of models, a non-streamed answer, the same answer as a stream, and
// an error.
func TestPublicClientLibrary(t *testing.T) {
	c, err := Start(t.Context(), Options{Scenario: smallScenario(t), Policy: settings.PolicyTwoChoices, Logger: zerolog.Nop()})
	require.NoError(t, err)
	defer c.Close()
	config := openai.DefaultConfig("key-families")
	config.BaseURL = "http://" + c.EntryVMs[0].Addresses().Callers + "/v1"
	client := openai.NewClientWithConfig(config)

	models, err := client.ListModels(t.Context())
	require.NoError(t, err)
	require.Len(t, models.Models, 1)

	chat := openai.ChatCompletionRequest{
		Model: models.Models[0].ID, MaxCompletionTokens: 20,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "A few words for my father."}},
	}
	complete, err := client.CreateChatCompletion(t.Context(), chat)
	require.NoError(t, err)
	require.Equal(t, 20, complete.Usage.CompletionTokens)
	require.NotEmpty(t, complete.Choices[0].Message.Content)

	stream, err := client.CreateChatCompletionStream(t.Context(), chat)
	require.NoError(t, err)
	defer stream.Close()
	var streamed strings.Builder
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		for _, choice := range chunk.Choices {
			streamed.WriteString(choice.Delta.Content)
		}
	}
	require.Equal(t, complete.Choices[0].Message.Content, streamed.String())

	chat.Model = "unknown"
	_, err = client.CreateChatCompletion(t.Context(), chat)
	var apiError *openai.APIError
	require.ErrorAs(t, err, &apiError)
	require.Equal(t, 404, apiError.HTTPStatusCode)
	require.Equal(t, string(request.CodeModelNotFound), apiError.Code)
}
