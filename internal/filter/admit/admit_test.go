package admit

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// TestLongPromptsCannotUseTheShortReserve nests 12 requests at a limit of 10: 9 with
// long prompts, then 3 with short ones. With 20 % reserved, the ninth long prompt must
// be refused, two short ones admitted, and the third refused at the limit.
func TestLongPromptsCannotUseTheShortReserve(t *testing.T) {
	f := New(10)
	newCall := func(short bool) *filter.Call {
		return &filter.Call{Kind: request.KindCompletion, Inference: filter.Inference{Class: &bundle.Class{Short: short}}}
	}
	var admitted []bool
	var processFrom func(n int)
	processFrom = func(n int) {
		if n == 12 {
			return
		}
		passed := false
		_ = f.Process(context.Background(), newCall(n >= 9), func(context.Context, *filter.Call) error {
			passed = true
			admitted = append(admitted, true)
			processFrom(n + 1)
			return nil
		})
		if !passed {
			admitted = append(admitted, false)
			processFrom(n + 1)
		}
	}
	processFrom(0)
	require.Equal(t, []bool{true, true, true, true, true, true, true, true, false, true, true, false}, admitted)
	require.Zero(t, f.inFlight.Load())
}
