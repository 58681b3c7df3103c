package prefix

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"godwityoke.example/godwityoke/internal/backendapi"
)

func stored(sequence, block uint64) backendapi.CacheEvent {
	return backendapi.CacheEvent{Sequence: sequence, Kind: backendapi.CacheStored, Block: block}
}

func match(x *Index, blocks ...uint64) map[string]int64 {
	found := map[string]int64{}
	x.Match(blocks, func(server string, tokens int64) { found[server] = tokens })
	return found
}

func TestMatchReportsLongestPrefixPerEngine(t *testing.T) {
	x := New(100)
	x.ApplyCacheEvents("e1", 1, []backendapi.CacheEvent{stored(1, 10), stored(2, 11), stored(3, 12)})
	x.ApplyCacheEvents("e2", 1, []backendapi.CacheEvent{stored(1, 10)})
	assert.Equal(t, map[string]int64{"e1": 3 * 256, "e2": 256}, match(x, 10, 11, 12, 13))
	x.ApplyCacheEvents("e1", 1, []backendapi.CacheEvent{{Sequence: 4, Kind: backendapi.CacheRemoved, Block: 12}})
	assert.Equal(t, map[string]int64{"e1": 2 * 256, "e2": 256}, match(x, 10, 11, 12, 13))
	x.ApplyCacheEvents("e1", 1, []backendapi.CacheEvent{{Sequence: 5, Kind: backendapi.CacheCleared}})
	assert.Equal(t, map[string]int64{"e2": 256}, match(x, 10, 11, 12, 13))
	x.DropCache("e2", 1)
	assert.Empty(t, match(x, 10, 11, 12, 13))
}

// Late events and events of a replaced incarnation must not change the index, or it would
// expect blocks that the engine has evicted. A restart must clear the blocks.
func TestLateEventsAreIgnoredAndRestartsClear(t *testing.T) {
	x := New(100)
	x.ApplyCacheEvents("e1", 2, []backendapi.CacheEvent{stored(5, 10)})
	x.ApplyCacheEvents("e1", 2, []backendapi.CacheEvent{stored(4, 11), stored(5, 12)})
	assert.Equal(t, map[string]int64{"e1": 256}, match(x, 10, 11, 12), "late and repeated events are ignored")
	x.ApplyCacheEvents("e1", 1, []backendapi.CacheEvent{stored(9, 11)})
	assert.Equal(t, map[string]int64{"e1": 256}, match(x, 10, 11), "events of a replaced incarnation are ignored")
	x.DropCache("e1", 1)
	assert.Equal(t, map[string]int64{"e1": 256}, match(x, 10, 11))
	x.ApplyCacheEvents("e1", 3, []backendapi.CacheEvent{stored(1, 20)})
	assert.Empty(t, match(x, 10, 11), "a restarted engine has an empty cache")
}

func TestGapsAndWrongEstimatesLowerConfidence(t *testing.T) {
	x := New(100)
	x.ApplyCacheEvents("e1", 1, []backendapi.CacheEvent{stored(1, 10)})
	x.ApplyCacheEvents("e1", 1, []backendapi.CacheEvent{stored(3, 11)})
	assert.Equal(t, map[string]int64{"e1": 256}, match(x, 10, 11), "a gap halves the expectation of two blocks")
	for range 100 {
		x.UpdateConfidence("e1", match(x, 10, 11)["e1"], 2*256)
	}
	assert.InDelta(t, 2*256, match(x, 10, 11)["e1"], 2, "correct estimates restore the confidence")
	for range 100 {
		x.UpdateConfidence("e1", match(x, 10, 11)["e1"], 0)
	}
	assert.Less(t, match(x, 10, 11)["e1"], int64(10), "wrong estimates remove nearly all expectation")
}

func TestBlocksPerServerAreLimited(t *testing.T) {
	x := New(10)
	for i := range uint64(1000) {
		x.AddBlocks("e1", 1, []uint64{i, i + 1})
	}
	assert.Len(t, x.servers["e1"].blocks, 10)
	assert.Len(t, x.holders, 10)
}

func BenchmarkMatch(b *testing.B) {
	for _, servers := range []int{15, 100, 600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			x := New(DefaultBlocks)
			blocks := make([]uint64, backendapi.MaxPrefixBlocks)
			for i := range blocks {
				blocks[i] = uint64(i)
			}
			for s := range servers {
				x.AddBlocks(fmt.Sprint(s), 1, blocks[:1+s%len(blocks)])
			}
			b.ReportAllocs()
			for b.Loop() {
				x.Match(blocks, func(string, int64) {})
			}
		})
	}
}
