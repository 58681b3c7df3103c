package distribute

import (
	"slices"
	"sync"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute/distributepb"
)

// maxRecentBundles is the number of bundles, including the newest one, whose content is kept as a base for compression.
// A receiver that holds one of them is sent only the difference.
const maxRecentBundles = 3

// Store holds the bundle in force on this VM and its encodings for other VMs. The version in force never decreases. It
// is safe for concurrent use.
type Store struct {
	holder *bundle.Holder

	mu sync.Mutex
	// recent holds up to maxRecentBundles bundles in the order of their versions. The last one is in force.
	recent []*VerifiedBundle
	// messageByBase caches the encodings of the newest bundle by the version of their base, 0 for no base.
	messageByBase map[uint64]*distributepb.Bundle
	changed       chan struct{}
}

// NewStore returns an empty store that puts bundles in force in holder.
func NewStore(holder *bundle.Holder) *Store {
	return &Store{holder: holder, messageByBase: map[uint64]*distributepb.Bundle{}, changed: make(chan struct{})}
}

// Put puts a verified bundle in force if its version is higher than the one in force, and reports whether it did.
func (s *Store) Put(verified *VerifiedBundle) bool { return s.put(verified, nil) }

// put is like Put. The message received, if not nil, is the encoding that the bundle came in; it is forwarded unchanged
// to VMs that hold its base.
func (s *Store) put(verified *VerifiedBundle, received *distributepb.Bundle) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holder.Advance(verified.Accepted) {
		return false
	}
	s.recent = append(s.recent, verified)
	if len(s.recent) > maxRecentBundles {
		s.recent = slices.Delete(s.recent, 0, len(s.recent)-maxRecentBundles)
	}
	s.messageByBase = map[uint64]*distributepb.Bundle{}
	if received != nil {
		s.messageByBase[received.GetBase()] = received
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Newest returns the bundle in force, nil before the first one.
func (s *Store) Newest() *VerifiedBundle {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest()
}

// newest is like Newest. The caller holds s.mu.
func (s *Store) newest() *VerifiedBundle {
	if len(s.recent) == 0 {
		return nil
	}
	return s.recent[len(s.recent)-1]
}

// Changed returns a channel that is closed when the next bundle is put in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Content returns the canonical JSON of a version, nil if the store doesn't hold it.
func (s *Store) Content(version uint64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, verified := range s.recent {
		if verified.Version() == version {
			return verified.Content
		}
	}
	return nil
}

// MessageFor returns the encoding of the newest bundle for a VM that holds version with digest, or nil if no higher
// version is in force. An empty digest asks for an encoding without a base.
func (s *Store) MessageFor(version uint64, digest string) (*distributepb.Bundle, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newest()
	if newest.Version() <= version {
		return nil, nil
	}
	var base *VerifiedBundle
	for _, verified := range s.recent {
		if verified.Version() == version && verified.Digest() == digest {
			base = verified
		}
	}
	if message, found := s.messageByBase[base.Version()]; found {
		return message, nil
	}
	message, err := encodeBundle(newest, base)
	if err != nil {
		return nil, err
	}
	s.messageByBase[base.Version()] = message
	return message, nil
}

// encodeBundle encodes verified with its content compressed against base, or against nothing if base is nil.
func encodeBundle(verified, base *VerifiedBundle) (*distributepb.Bundle, error) {
	var baseContent []byte
	if base != nil {
		baseContent = base.Content
	}
	compressed, err := bundle.Compress(verified.Content, baseContent)
	if err != nil {
		return nil, err
	}
	message := &distributepb.Bundle{
		Version: verified.Version(),
		Digest:  verified.Digest(),
		Content: compressed,
		Base:    base.Version(),
	}
	for _, signature := range verified.Accepted.Signatures {
		message.Signatures = append(message.Signatures, &distributepb.Signature{Key: signature.Key, Value: signature.Value})
	}
	return message, nil
}
