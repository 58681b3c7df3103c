package place

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hugeQuery needs more than twice the memory of one engine.
func hugeQuery() Query { return Query{Model: "m", PromptTokens: 210_000, AnswerTokens: 100} }

func withReserve(options *Options) {
	options.ShortReservePercent = func() float64 { return 20 }
}

// leased returns the leased engine memory after one more lease term.
func leased(vm *leaseVM) int64 {
	time.Sleep(leaseTerm)
	sum := int64(0)
	for _, usage := range vm.service.Usage() {
		sum += usage.Leased()
	}
	return sum
}

func TestPromptLargerThanOneEngineIsPlacedOnSeveral(t *testing.T) {
	withLeases(t, modelServers(4), withReserve, func(vm *leaseVM) {
		placed, ok := vm.mustPlace(hugeQuery()).(GroupPlacement)
		require.True(t, ok)
		segments := placed.Segments()
		require.Len(t, segments, 3, "each segment leaves 20 percent of the engine for short prompts")
		assert.Equal(t, placed.Server().ID, segments[2].Server.ID)
		assert.Equal(t, "0-70000", segments[0].Header())
		assert.Equal(t, int64(210_100), leased(vm))
		assert.Zero(t, vm.service.Usage()[segments[0].Server.ID].Prefill, "a grant alone adds no prefill")
		placed.BeginPrefill(0)
		time.Sleep(leaseTerm)
		assert.Equal(t, int64(70_000), vm.service.Usage()[segments[0].Server.ID].Prefill)
		placed.EndPrefill(0)
		time.Sleep(leaseTerm)
		assert.Zero(t, vm.service.Usage()[segments[0].Server.ID].Prefill)
		finish(placed, AttemptResult{})
		time.Sleep(2 * leaseTerm)
		assert.Zero(t, leased(vm), "the memory of the cancelled segments is released")
	})
}

func TestGroupThatDoesNotFitIsRefused(t *testing.T) {
	t.Run("too few engines: refused at once", func(t *testing.T) {
		withLeases(t, modelServers(2), withReserve, func(vm *leaseVM) {
			began := time.Now()
			_, err := vm.place(hugeQuery())
			require.ErrorIs(t, err, ErrNoServer)
			assert.Zero(t, time.Since(began))
		})
	})
	t.Run("an engine stays full: all or nothing", func(t *testing.T) {
		withLeases(t, modelServers(3), withReserve, func(vm *leaseVM) {
			full := vm.mustPlace(Query{Model: "m", PromptTokens: 90_000, AnswerTokens: 100})
			full.FirstToken(time.Now())
			_, err := vm.place(hugeQuery())
			require.ErrorIs(t, err, ErrDeadlineUnreachable)
			assert.Equal(t, int64(90_100), leased(vm), "the leases of the other engines are released")
			finish(full, AttemptResult{})
			finish(vm.mustPlace(hugeQuery()), AttemptResult{})
		})
	})
}

func TestGroupSteps(t *testing.T) {
	assert.Equal(t, []GroupStep{
		{Kind: GroupPrefill, Segment: 0},
		{Kind: GroupTransfer, Segment: 1, Source: 0},
		{Kind: GroupPrefill, Segment: 1},
		{Kind: GroupTransfer, Segment: 2, Source: 0},
		{Kind: GroupTransfer, Segment: 2, Source: 1},
	}, GroupSteps(3), "the prefill of the last segment belongs to the answer and is no step")
}
