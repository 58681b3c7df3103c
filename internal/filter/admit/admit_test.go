package admit

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// TestLongPromptsLeaveRoomForShortOnes fills the VM with long prompts.
func TestLongPromptsLeaveRoomForShortOnes(t *testing.T) {
	f := New(10)
	newCall := func(short bool) *filter.Call {
		return &filter.Call{Kind: request.KindCompletion, Inference: filter.Inference{Class: &bundle.Class{Short: short}}}
	}
	var admitted []bool
	var enter func(n int)
	enter = func(n int) {
		if n == 12 {
			return
		}
		passed := false
		_ = f.Process(context.Background(), newCall(n >= 9), func(context.Context, *filter.Call) error {
			passed = true
			admitted = append(admitted, true)
			enter(n + 1)
			return nil
		})
		if !passed {
			admitted = append(admitted, false)
			enter(n + 1)
		}
	}
	enter(0)
	require.Equal(t, []bool{true, true, true, true, true, true, true, true, false, true, true, false}, admitted)
	require.Zero(t, f.inFlight.Load())
}
