package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// MaxContentBytes bounds the canonical JSON of a bundle.
const MaxContentBytes = 8 << 20

// Canonical returns the canonical JSON of b: keys in the order of the types,
// no white space. The digest and the signatures are made over it.
func Canonical(b *Bundle) ([]byte, error) {
	content, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode the bundle: %w", err)
	}
	if len(content) > MaxContentBytes {
		return nil, fmt.Errorf("the bundle has %d bytes, allowed: up to %d", len(content), MaxContentBytes)
	}
	return content, nil
}

// Digest returns the SHA-256 of canonical content in hexadecimal digits.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Decode reads a bundle from canonical JSON that was checked when it was
// accepted. Keys that this version of the program does not know are ignored.
func Decode(content []byte) (*Bundle, error) {
	var decoded Bundle
	if err := json.Unmarshal(content, &decoded); err != nil {
		return nil, fmt.Errorf("decode a bundle: %w", err)
	}
	return &decoded, nil
}
