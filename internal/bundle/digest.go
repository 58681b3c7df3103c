package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"godwityoke.example/godwityoke/internal/jsonc"
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

// Decode reads a bundle from canonical JSON. Mistakes of form are returned as
// findings. Keys that this version of the program does not know are mistakes.
func Decode(name string, content []byte) (*Bundle, jsonc.Findings) {
	var decoded Bundle
	findings := jsonc.Decode(name, content, &decoded).Findings()
	if len(findings) > 0 {
		return nil, findings
	}
	return &decoded, nil
}
