package distribute

import (
	"errors"
	"fmt"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute/distributepb"
)

var (
	// ErrDigestMismatch means that the content of a bundle doesn't have the digest that came with it.
	ErrDigestMismatch = errors.New("the content does not have the stated digest")
	// ErrBaseNotHeld means that the content of a bundle was compressed against a version that this VM doesn't hold.
	ErrBaseNotHeld = errors.New("the base of the compressed content is not held")
)

// VerifiedBundle is an accepted bundle whose digest and signatures have been verified, with the signed content.
type VerifiedBundle struct {
	Accepted *bundle.AcceptedBundle
	// Content is the canonical JSON of the bundle.
	Content []byte
}

// Version returns the version of the bundle, 0 for a nil receiver.
func (b *VerifiedBundle) Version() uint64 {
	if b == nil {
		return 0
	}
	return b.Accepted.Version
}

// Digest returns the digest of the content, empty for a nil receiver.
func (b *VerifiedBundle) Digest() string {
	if b == nil {
		return ""
	}
	return b.Accepted.Digest
}

// decodeBundle decompresses and verifies a received bundle. Base is the content of the version message.Base, nil if
// message.Base is 0 or this VM doesn't hold that version.
func decodeBundle(message *distributepb.Bundle, base []byte, keys *bundle.Keyring) (*VerifiedBundle, error) {
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

// VerifyBundle verifies the digest and the signatures of content, which is canonical JSON, and decodes it. It returns
// ErrDigestMismatch, the findings on the signatures, or the error of decoding. accepted.Bundle is not used.
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
	result := *accepted
	result.Bundle = decoded
	return &VerifiedBundle{Accepted: &result, Content: content}, nil
}
