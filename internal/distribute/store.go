package distribute

import (
	"slices"
	"sync"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute/distributepb"
)

// keptContents is the number of contents that are kept as bases, so that a
// receiver that holds one of them is sent what differs only.
const keptContents = 3

// Store holds the bundle in force on this VM with what is needed to pass it
// on. Its version only grows. It is safe for concurrent use.
type Store struct {
	holder *bundle.Holder

	mu      sync.Mutex
	kept    []*VerifiedBundle
	encoded map[uint64]*distributepb.Bundle
	changed chan struct{}
}

// NewStore returns a store that puts bundles in force in holder.
func NewStore(holder *bundle.Holder) *Store {
	return &Store{holder: holder, encoded: map[uint64]*distributepb.Bundle{}, changed: make(chan struct{})}
}

// Put takes a verified bundle, and reports whether it is newer than what the
// store held.
func (s *Store) Put(sealed *VerifiedBundle) bool { return s.put(sealed, nil) }

// put takes a verified bundle and the message that brought it, which is passed
// on as it is to VMs that hold the same base.
func (s *Store) put(sealed *VerifiedBundle, received *distributepb.Bundle) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holder.Advance(sealed.Accepted) {
		return false
	}
	s.kept = append(s.kept, sealed)
	if len(s.kept) > keptContents {
		s.kept = slices.Delete(s.kept, 0, len(s.kept)-keptContents)
	}
	s.encoded = map[uint64]*distributepb.Bundle{}
	if received != nil {
		s.encoded[received.GetBase()] = received
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Newest returns the bundle in force, nil before the first.
func (s *Store) Newest() *VerifiedBundle {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest()
}

func (s *Store) newest() *VerifiedBundle {
	if len(s.kept) == 0 {
		return nil
	}
	return s.kept[len(s.kept)-1]
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Content returns the content of a version, nil when it is not held.
func (s *Store) Content(version uint64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sealed := range s.kept {
		if sealed.Version() == version {
			return sealed.Content
		}
	}
	return nil
}

// MessageFor returns the newest bundle as it is sent to a VM that holds version
// with digest, or nil when that VM needs nothing.
func (s *Store) MessageFor(version uint64, digest string) (*distributepb.Bundle, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newest()
	if newest.Version() <= version {
		return nil, nil
	}
	var base *VerifiedBundle
	for _, sealed := range s.kept {
		if sealed.Version() == version && sealed.Digest() == digest {
			base = sealed
		}
	}
	if message, found := s.encoded[base.Version()]; found {
		return message, nil
	}
	message, err := encode(newest, base)
	if err != nil {
		return nil, err
	}
	s.encoded[base.Version()] = message
	return message, nil
}

// encode compresses sealed against base, which may be nil.
func encode(sealed, base *VerifiedBundle) (*distributepb.Bundle, error) {
	var baseContent []byte
	if base != nil {
		baseContent = base.Content
	}
	compressed, err := bundle.Compress(sealed.Content, baseContent)
	if err != nil {
		return nil, err
	}
	message := &distributepb.Bundle{
		Version: sealed.Version(),
		Digest:  sealed.Digest(),
		Content: compressed,
		Base:    base.Version(),
	}
	for _, signature := range sealed.Accepted.Signatures {
		message.Signatures = append(message.Signatures, &distributepb.Signature{Key: signature.Key, Value: signature.Value})
	}
	return message, nil
}
