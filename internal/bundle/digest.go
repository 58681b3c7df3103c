package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// MaxContentBytes is the maximum length of the canonical JSON of a bundle.
const MaxContentBytes = 8 << 20

// Canonical returns the canonical JSON of b: keys in the order of the struct
// fields and no white space. Digest and signatures cover this form. It returns an
// error if the result exceeds MaxContentBytes.
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

// Decode decodes a bundle from canonical JSON without checking it, since it was
// checked before it was accepted. Unknown keys are ignored, so that an older
// version of the program can read a newer bundle.
func Decode(content []byte) (*Bundle, error) {
	var decoded Bundle
	if err := json.Unmarshal(content, &decoded); err != nil {
		return nil, fmt.Errorf("decode a bundle: %w", err)
	}
	return &decoded, nil
}
