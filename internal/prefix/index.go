// Package prefix estimates how much of a prompt each engine has in its prefix cache. Cache
// events arrive late and with gaps, so that an estimate may be wrong: each one is weighted
// by a confidence, the accuracy of earlier estimates for the engine. The package does not
// compute block hashes and does not select engines.
package prefix

import (
	"sync"

	"godwityoke.example/godwityoke/internal/backendapi"
)

const (
	// DefaultBlocks is the default maximum number of blocks per engine. The oldest are
	// evicted.
	DefaultBlocks = 2048
	// gapConfidenceFactor multiplies the confidence in an engine's blocks after a gap in
	// its events.
	gapConfidenceFactor = 0.5
	// confidenceWeight is the weight of the newest sample in the confidence.
	confidenceWeight = 0.1
)

// Index holds the blocks that engines are expected to cache. It is safe for concurrent use.
type Index struct {
	maxBlocksPerServer int

	mu      sync.Mutex
	servers map[string]*serverCache
	// holders lists the engines of each block.
	holders map[uint64][]*serverCache
	// matchCount is the number of calls of Match.
	matchCount uint64
}

// serverCache is the expected cache content of one engine.
type serverCache struct {
	id          string
	incarnation uint64
	// sequence is that of the last applied event, 0 before the first.
	sequence uint64
	// confidence is the expected accuracy of blocks, 0 to 1.
	confidence float64
	blocks     map[uint64]struct{}
	// ring holds the blocks in the order in which they were added. Removed blocks remain
	// until they are overwritten.
	ring []uint64
	// next is the position in ring that is overwritten next once ring is full.
	next int
	// lastMatch is the matchCount of the last call of Match that reported the engine.
	lastMatch uint64
}

// New returns an empty index that holds up to maxBlocksPerServer blocks per engine.
func New(maxBlocksPerServer int) *Index {
	return &Index{maxBlocksPerServer: maxBlocksPerServer, servers: map[string]*serverCache{}, holders: map[uint64][]*serverCache{}}
}

// ApplyCacheEvents applies events of an engine in the order of their arrival. Events of
// replaced incarnations are ignored.
func (x *Index) ApplyCacheEvents(serverID string, incarnation uint64, events []backendapi.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.server(serverID, incarnation)
	if s == nil {
		return
	}
	for _, event := range events {
		if event.Sequence <= s.sequence {
			continue // repeated or late
		}
		if s.sequence != 0 && event.Sequence != s.sequence+1 {
			s.confidence *= gapConfidenceFactor
		}
		s.sequence = event.Sequence
		x.apply(s, event)
	}
}

func (x *Index) apply(s *serverCache, event backendapi.CacheEvent) {
	switch event.Kind {
	case backendapi.CacheStored:
		x.add(s, event.Block)
	case backendapi.CacheRemoved:
		x.remove(s, event.Block)
	case backendapi.CacheCleared:
		x.clear(s)
	}
}

// DropCache removes an engine, unless a newer incarnation than the given one is known.
func (x *Index) DropCache(serverID string, incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s, found := x.servers[serverID]; found && s.incarnation <= incarnation {
		x.clear(s)
		delete(x.servers, serverID)
	}
}

// AddBlocks adds the blocks of a prompt that an engine has just prefilled, before its cache
// events arrive.
func (x *Index) AddBlocks(serverID string, incarnation uint64, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.server(serverID, incarnation); s != nil {
		for _, block := range blocks {
			x.add(s, block)
		}
	}
}

// UpdateConfidence compares the tokens that Match expected with the cached tokens that the
// engine reported for the prompt.
func (x *Index) UpdateConfidence(serverID string, expectedTokens, cachedTokens int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, found := x.servers[serverID]
	if !found || expectedTokens <= 0 {
		return
	}
	// expectedTokens includes the confidence, so sample is the fraction of the matched
	// blocks that was cached.
	sample := min(1, s.confidence*float64(cachedTokens)/float64(expectedTokens))
	s.confidence += (sample - s.confidence) * confidenceWeight
}

// Match calls report for each engine that is expected to cache a prefix of a prompt, with
// the expected number of cached tokens: the length of the longest such prefix times the
// confidence. blocks are the hashes of the prompt's prefixes, shortest first.
func (x *Index) Match(blocks []uint64, report func(serverID string, tokens int64)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.matchCount++
	remaining := len(x.servers)
	for i := len(blocks) - 1; i >= 0 && remaining > 0; i-- {
		for _, s := range x.holders[blocks[i]] {
			if s.lastMatch == x.matchCount {
				continue
			}
			s.lastMatch = x.matchCount
			remaining--
			report(s.id, int64(float64((i+1)*backendapi.BlockTokens)*s.confidence))
		}
	}
}

// server returns the entry of an incarnation, which replaces older ones. It returns nil if
// a newer one is known.
func (x *Index) server(id string, incarnation uint64) *serverCache {
	s, found := x.servers[id]
	if found && s.incarnation > incarnation {
		return nil
	}
	if found && s.incarnation == incarnation {
		return s
	}
	if found {
		x.clear(s)
	}
	s = &serverCache{id: id, incarnation: incarnation, confidence: 1, blocks: map[uint64]struct{}{}}
	x.servers[id] = s
	return s
}

func (x *Index) add(s *serverCache, block uint64) {
	if _, known := s.blocks[block]; known {
		return
	}
	if len(s.ring) < x.maxBlocksPerServer {
		s.ring = append(s.ring, block)
	} else {
		x.remove(s, s.ring[s.next])
		s.ring[s.next] = block
		s.next = (s.next + 1) % x.maxBlocksPerServer
	}
	s.blocks[block] = struct{}{}
	x.holders[block] = append(x.holders[block], s)
}

func (x *Index) remove(s *serverCache, block uint64) {
	if _, known := s.blocks[block]; !known {
		return
	}
	delete(s.blocks, block)
	holders := x.holders[block]
	for i, holder := range holders {
		if holder == s {
			holders[i] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(x.holders, block)
		return
	}
	x.holders[block] = holders
}

func (x *Index) clear(s *serverCache) {
	for block := range s.blocks {
		x.remove(s, block)
	}
	s.ring, s.next = s.ring[:0], 0
}
