package distribute

import (
	"errors"
	"fmt"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute/distributepb"
)

var (
	// ErrDigestMismatch tells that content and digest of a received bundle differ.
	ErrDigestMismatch = errors.New("the content does not have the stated digest")
	// ErrBaseNotHeld tells that the content was compressed against a version that
	// this VM does not hold any more.
	ErrBaseNotHeld = errors.New("the base of the compressed content is not held")
)

// VerifiedBundle is an accepted bundle with the content that was signed.
type VerifiedBundle struct {
	Accepted *bundle.AcceptedBundle
	// Content is the canonical JSON of the bundle.
	Content []byte
}

// Version returns the bundle's version, 0 for a nil receiver.
func (s *VerifiedBundle) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.Accepted.Version
}

// Digest returns the digest of the content, empty for a nil receiver.
func (s *VerifiedBundle) Digest() string {
	if s == nil {
		return ""
	}
	return s.Accepted.Digest
}

// open decompresses and verifies a received bundle. Base is the content of
// message.Base, nil when that is 0 or not held.
func open(message *distributepb.Bundle, base []byte, keys *bundle.Keyring) (*VerifiedBundle, error) {
	if message.GetBase() != 0 && base == nil {
		return nil, ErrBaseNotHeld
	}
	content, err := bundle.Decompress(message.GetContent(), base)
	if err != nil {
		return nil, err
	}
	accepted := &bundle.AcceptedBundle{Version: message.GetVersion(), Digest: message.GetDigest()}
	for _, signature := range message.GetSignatures() {
		accepted.Signatures = append(accepted.Signatures, bundle.Signature{Key: signature.GetKey(), Value: signature.GetValue()})
	}
	return VerifyBundle(accepted, content, keys)
}

// VerifyBundle verifies the digest and the signatures of content and decodes it.
func VerifyBundle(accepted *bundle.AcceptedBundle, content []byte, keys *bundle.Keyring) (*VerifiedBundle, error) {
	if bundle.Digest(content) != accepted.Digest {
		return nil, ErrDigestMismatch
	}
	statement := bundle.Statement{Version: accepted.Version, Digest: accepted.Digest}
	if verdict := keys.Verify(statement, accepted.Signatures); !verdict.IsSufficient() {
		return nil, fmt.Errorf("version %d: %w", accepted.Version, verdict.Findings)
	}
	decoded, err := bundle.Decode(content)
	if err != nil {
		return nil, err
	}
	sealed := *accepted
	sealed.Bundle = decoded
	return &VerifiedBundle{Accepted: &sealed, Content: content}, nil
}
