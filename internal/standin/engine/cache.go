package engine

import (
	"container/list"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// prefixCache holds the hashes of the cached prefix blocks and evicts the least recently
// used ones. It records each change as an event for the next announcement.
type prefixCache struct {
	capacity int
	lru      *list.List // of uint64 block hashes, most recently used first
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []backendapi.CacheEvent
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookup returns how many blocks are cached before the first one that is not, and marks them as most recently used.
func (p *prefixCache) lookup(blocks []uint64) int64 {
	var hits int64
	for _, block := range blocks {
		element, found := p.blocks[block]
		if !found {
			break
		}
		p.lru.MoveToFront(element)
		hits++
	}
	return hits
}

// store caches the first blocks of a prompt, up to the capacity. It inserts them in reverse
// order, so that the longer prefixes are evicted first.
func (p *prefixCache) store(blocks []uint64) {
	if p.capacity == 0 {
		return
	}
	for i := min(len(blocks), p.capacity) - 1; i >= 0; i-- {
		if element, found := p.blocks[blocks[i]]; found {
			p.lru.MoveToFront(element)
			continue
		}
		p.blocks[blocks[i]] = p.lru.PushFront(blocks[i])
		p.addEvent(backendapi.CacheEvent{
			Kind: backendapi.CacheStored, Block: blocks[i], Tokens: int64(i+1) * backendapi.BlockTokens,
		})
	}
	for p.lru.Len() > p.capacity {
		evicted := p.lru.Remove(p.lru.Back()).(uint64)
		delete(p.blocks, evicted)
		p.addEvent(backendapi.CacheEvent{Kind: backendapi.CacheRemoved, Block: evicted})
	}
}

func (p *prefixCache) clear() {
	p.lru.Init()
	clear(p.blocks)
	p.addEvent(backendapi.CacheEvent{Kind: backendapi.CacheCleared})
}

func (p *prefixCache) addEvent(event backendapi.CacheEvent) {
	p.sequence++
	event.Sequence = p.sequence
	p.events = append(p.events, event)
}

// takeEvents returns the events since the last call.
func (p *prefixCache) takeEvents() []backendapi.CacheEvent {
	events := p.events
	p.events = nil
	return events
}
