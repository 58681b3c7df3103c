// Package prefix guesses how much of a prompt each engine has in its prefix
// cache. Cache events arrive late and with gaps, so every guess may be wrong:
// it is weighed by how often the guesses for that engine came true.
package prefix

import (
	"sync"

	"godwityoke.example/godwityoke/internal/backendapi"
)

const (
	// DefaultBlocks bounds the blocks that are kept of each engine; beyond it
	// the oldest are forgotten.
	DefaultBlocks = 2048
	// gapTrust is what remains of the trust in an engine's entries after a
	// gap in its events.
	gapTrust = 0.5
	// trustWeight is the weight of the newest result in the trust.
	trustWeight = 0.1
)

// Index holds the blocks that engines are thought to cache. It is safe for
// concurrent use.
type Index struct {
	perServer int

	mu      sync.Mutex
	servers map[string]*server
	holders map[uint64][]*server
	// round numbers the calls of Match.
	round uint64
}

// server is what is known of one engine.
type server struct {
	id          string
	incarnation uint64
	sequence    uint64
	trust       float64
	blocks      map[uint64]struct{}
	// ring holds the blocks in the order of their arrival; removed blocks
	// stay until they are overwritten.
	ring  []uint64
	next  int
	round uint64
}

// New returns an empty index that keeps perServer blocks of each engine.
func New(perServer int) *Index {
	return &Index{perServer: perServer, servers: map[string]*server{}, holders: map[uint64][]*server{}}
}

// ApplyCacheEvents takes events of an engine in the order in which they arrived.
func (x *Index) ApplyCacheEvents(serverID string, incarnation uint64, events []backendapi.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.server(serverID, incarnation)
	if s == nil {
		return
	}
	for _, event := range events {
		if event.Sequence <= s.sequence {
			continue // repeated, or older than what was taken into account
		}
		if s.sequence != 0 && event.Sequence != s.sequence+1 {
			s.trust *= gapTrust
		}
		s.sequence = event.Sequence
		x.apply(s, event)
	}
}

func (x *Index) apply(s *server, event backendapi.CacheEvent) {
	switch event.Kind {
	case backendapi.CacheStored:
		x.add(s, event.Block)
	case backendapi.CacheRemoved:
		x.remove(s, event.Block)
	case backendapi.CacheCleared:
		x.clear(s)
	}
}

// DropCache forgets an incarnation of an engine.
func (x *Index) DropCache(serverID string, incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s, found := x.servers[serverID]; found && s.incarnation <= incarnation {
		x.clear(s)
		delete(x.servers, serverID)
	}
}

// AddBlocks notes that an engine has just processed a prompt, ahead of its
// events.
func (x *Index) AddBlocks(serverID string, incarnation uint64, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.server(serverID, incarnation); s != nil {
		for _, block := range blocks {
			x.add(s, block)
		}
	}
}

// UpdateConfidence compares a guess of cached tokens with what the engine reported.
func (x *Index) UpdateConfidence(serverID string, guessed, cached int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, found := x.servers[serverID]
	if !found || guessed <= 0 {
		return
	}
	// A guess is weighed already; the share that came true corrects it.
	result := min(1, s.trust*float64(cached)/float64(guessed))
	s.trust += (result - s.trust) * trustWeight
}

// Match calls found for each engine that is thought to cache a prefix of the
// prompt with these blocks, with the expected number of cached tokens. Blocks
// are the hashes of the prefixes, shortest first.
func (x *Index) Match(blocks []uint64, found func(serverID string, tokens int64)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.round++
	left := len(x.servers)
	for i := len(blocks) - 1; i >= 0 && left > 0; i-- {
		for _, s := range x.holders[blocks[i]] {
			if s.round == x.round {
				continue
			}
			s.round = x.round
			left--
			found(s.id, int64(float64((i+1)*backendapi.BlockTokens)*s.trust))
		}
	}
}

// server returns the entry of an incarnation, or nil when a newer one is
// known.
func (x *Index) server(id string, incarnation uint64) *server {
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
	s = &server{id: id, incarnation: incarnation, trust: 1, blocks: map[uint64]struct{}{}}
	x.servers[id] = s
	return s
}

func (x *Index) add(s *server, block uint64) {
	if _, known := s.blocks[block]; known {
		return
	}
	if len(s.ring) < x.perServer {
		s.ring = append(s.ring, block)
	} else {
		x.remove(s, s.ring[s.next])
		s.ring[s.next] = block
		s.next = (s.next + 1) % x.perServer
	}
	s.blocks[block] = struct{}{}
	x.holders[block] = append(x.holders[block], s)
}

func (x *Index) remove(s *server, block uint64) {
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

func (x *Index) clear(s *server) {
	for block := range s.blocks {
		x.remove(s, block)
	}
	s.ring, s.next = s.ring[:0], 0
}
