package engine

import (
	"container/list"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// prefixCache keeps the hashes of cached prefix blocks, least recently used
// first out.
type prefixCache struct {
	capacity int
	order    *list.List // of uint64, most recently used in front
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []backendapi.CacheEvent
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookup returns how many of the leading blocks are cached.
func (p *prefixCache) lookup(blocks []uint64) int64 {
	var hits int64
	for _, block := range blocks {
		element, found := p.blocks[block]
		if !found {
			break
		}
		p.order.MoveToFront(element)
		hits++
	}
	return hits
}

// store caches blocks. Later blocks go in first, so that the shorter prefixes
// are evicted last.
func (p *prefixCache) store(blocks []uint64) {
	if p.capacity == 0 {
		return
	}
	for i := min(len(blocks), p.capacity) - 1; i >= 0; i-- {
		if element, found := p.blocks[blocks[i]]; found {
			p.order.MoveToFront(element)
			continue
		}
		p.blocks[blocks[i]] = p.order.PushFront(blocks[i])
		p.report(backendapi.CacheEvent{
			Kind: backendapi.CacheStored, Block: blocks[i], Tokens: int64(i+1) * backendapi.BlockTokens,
		})
	}
	for p.order.Len() > p.capacity {
		oldest := p.order.Remove(p.order.Back()).(uint64)
		delete(p.blocks, oldest)
		p.report(backendapi.CacheEvent{Kind: backendapi.CacheRemoved, Block: oldest})
	}
}

func (p *prefixCache) clear() {
	p.order.Init()
	clear(p.blocks)
	p.report(backendapi.CacheEvent{Kind: backendapi.CacheCleared})
}

func (p *prefixCache) report(event backendapi.CacheEvent) {
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
