// Package membudget bounds the bytes that a process buffers for its peers. All connections
// share one Budget, so that peers that send without end, many at a time, use up a part of
// the budget and not the memory of the process. A share of it is left to small buffers.
package membudget

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// SmallBytes is the size up to which a buffer may use the share that is kept for small
	// ones.
	SmallBytes = 64 << 10
	// largeFraction is the fraction of the budget that larger buffers may use.
	largeFraction = 0.75
	// peerFraction is the fraction of the budget that the buffers of one peer may use.
	peerFraction = 0.5
	// firstBytes is the size of the first buffer of ReadAll.
	firstBytes = 4 << 10
)

// ErrExhausted means that the budget, or the part of it that a peer may use, is used up.
var ErrExhausted = errors.New("the memory for buffers is used up")

// ErrTooLarge means that a body exceeds the limit given to ReadAll.
var ErrTooLarge = errors.New("the body is too large")

// Budget is a number of bytes that all buffers of a process share. It is safe for concurrent
// use. A nil Budget is unlimited.
type Budget struct {
	limit int64

	mu    sync.Mutex
	used  int64
	peers map[string]int64
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, peers: map[string]int64{}} }

// UsedBytes returns the number of bytes in use.
func (b *Budget) UsedBytes() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account returns an account without bytes for a buffer of the given peer.
func (b *Budget) Account(peer string) *Account { return &Account{budget: b, peer: peer} }

// AccountWithin returns an account that takes bytes only while all buffers together use at most the given fraction of the
// budget.
func (b *Budget) AccountWithin(peer string, fraction float64) *Account {
	return &Account{budget: b, peer: peer, fraction: fraction}
}

// Account counts the bytes of one buffer. It is not safe for concurrent use. A nil Account
// is unlimited.
type Account struct {
	budget *Budget
	peer   string
	bytes  int64
	// fraction is the part of the budget that all buffers may use when this one grows, 0 for the usual one.
	fraction float64
}

// Grow takes n more bytes from the budget. The error wraps ErrExhausted and names the limit.
func (a *Account) Grow(n int64) error {
	if a == nil || a.budget == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if ofPeer := int64(peerFraction * float64(b.limit)); b.peers[a.peer]+n > ofPeer {
		return fmt.Errorf("%w: %d bytes for %s, of at most %d", ErrExhausted, b.peers[a.peer]+n, a.peer, ofPeer)
	}
	limit := b.limit
	if a.bytes+n > SmallBytes {
		limit = int64(largeFraction * float64(b.limit))
	}
	if a.fraction > 0 {
		limit = min(limit, int64(a.fraction*float64(b.limit)))
	}
	if b.used+n > limit {
		return fmt.Errorf("%w: %d bytes for all, of at most %d", ErrExhausted, b.used+n, limit)
	}
	b.used += n
	b.peers[a.peer] += n
	a.bytes += n
	return nil
}

// Release gives all bytes back.
func (a *Account) Release() {
	if a == nil || a.budget == nil || a.bytes == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= a.bytes
	if b.peers[a.peer] -= a.bytes; b.peers[a.peer] == 0 {
		delete(b.peers, a.peer)
	}
	a.bytes = 0
}

// ReadAll reads r to its end into memory of the account, which the caller releases when it is
// done with the result. The error wraps ErrTooLarge for more than limit bytes, ErrExhausted,
// or is that of r.
func ReadAll(r io.Reader, limit int64, account *Account) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) > limit {
				return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
			}
			old := int64(cap(buffer))
			size := min(max(2*old, firstBytes), limit+1)
			if err := account.Grow(size - old); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			buffer = grown
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			if int64(len(buffer)) > limit {
				return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
			}
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
