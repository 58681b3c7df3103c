package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// statementPrefix separates signatures over bundles from any other use of the
// operators' keys.
const statementPrefix = "godwityoke bundle v1"

// Statement is what operators sign: the content with the digest becomes the
// bundle of this version. With the version signed, no VM on the way can give
// old content a higher version.
type Statement struct {
	Version uint64
	Digest  string
}

func (s Statement) bytes() []byte {
	return []byte(statementPrefix + "\n" + strconv.FormatUint(s.Version, 10) + "\n" + s.Digest + "\n")
}

// Sign signs s with the operator key that is called name.
func Sign(s Statement, name string, key ed25519.PrivateKey) Signature {
	return Signature{Key: name, Value: base64.StdEncoding.EncodeToString(ed25519.Sign(key, s.bytes()))}
}

// Problem says what is wrong with a signature.
type Problem string

// Problems of signatures.
const (
	ProblemTooFewSignatures Problem = "too_few"
	ProblemUnknownKey       Problem = "unknown_key"
	ProblemRepeatedKey      Problem = "repeated"
	ProblemInvalidSignature Problem = "wrong"
)

// SignatureFinding is one problem of a bundle's signatures.
type SignatureFinding struct {
	Problem Problem `json:"problem"`
	// Key is the operator key's name, empty for ProblemTooFew.
	Key string `json:"key,omitempty"`
	// Detail is text for the operator.
	Detail string `json:"detail"`
}

// SignatureFindings collects all problems of a bundle's signatures.
type SignatureFindings []SignatureFinding

// Error implements the error interface with one finding a line.
func (fs SignatureFindings) Error() string {
	lines := make([]string, len(fs))
	for i, finding := range fs {
		lines[i] = "signatures: " + finding.Detail
	}
	return strings.Join(lines, "\n")
}

// Keyring holds the public keys of the operators.
type Keyring struct {
	required int
	keys     map[string]ed25519.PublicKey
}

// PublicKey is a named operator key, with the ed25519 key in base64.
type PublicKey struct {
	Name   string
	Base64 string
}

// ErrInvalidKey tells that an operator key can't be used.
var ErrInvalidKey = errors.New("not an ed25519 public key in base64")

// NewKeyring returns a keyring that asks for required valid signatures.
func NewKeyring(required int, keys []PublicKey) (*Keyring, error) {
	ring := &Keyring{required: required, keys: make(map[string]ed25519.PublicKey, len(keys))}
	for _, key := range keys {
		raw, err := base64.StdEncoding.DecodeString(key.Base64)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("operator key %q: %w", key.Name, ErrInvalidKey)
		}
		ring.keys[key.Name] = raw
	}
	return ring, nil
}

// VerifyResult is the result of a verification.
type VerifyResult struct {
	// Valid counts the valid signatures by different keys.
	Valid    int
	Required int
	Findings SignatureFindings
}

// IsSufficient reports whether there are as many valid signatures as required. A VM
// that receives an accepted bundle asks for no more, so that it keeps working
// while its settings lag behind a change of the operators' keys.
func (v VerifyResult) IsSufficient() bool { return v.Valid >= v.Required }

// Verify checks the signatures over s. Two names of one key count once.
func (r *Keyring) Verify(s Statement, signatures []Signature) VerifyResult {
	verdict := VerifyResult{Required: r.required}
	seen := map[string]bool{}
	counted := map[string]bool{}
	for _, signature := range signatures {
		finding, found := r.examine(s, signature, seen)
		seen[signature.Key] = true
		if found {
			verdict.Findings = append(verdict.Findings, finding)
			continue
		}
		counted[string(r.keys[signature.Key])] = true
	}
	verdict.Valid = len(counted)
	if !verdict.IsSufficient() {
		detail := fmt.Sprintf("%d valid signatures of different keys, required: %d", verdict.Valid, r.required)
		verdict.Findings = append(verdict.Findings, SignatureFinding{Problem: ProblemTooFewSignatures, Detail: detail})
	}
	return verdict
}

func (r *Keyring) examine(s Statement, signature Signature, seen map[string]bool) (SignatureFinding, bool) {
	key, known := r.keys[signature.Key]
	if !known {
		return signatureFinding(ProblemUnknownKey, signature.Key, "key %q is not in the settings"), true
	}
	if seen[signature.Key] {
		return signatureFinding(ProblemRepeatedKey, signature.Key, "key %q signed more than once"), true
	}
	raw, err := base64.StdEncoding.DecodeString(signature.Value)
	if err != nil || !ed25519.Verify(key, s.bytes(), raw) {
		return signatureFinding(ProblemInvalidSignature, signature.Key, "the signature of key %q is wrong for this content and version"), true
	}
	return SignatureFinding{}, false
}

func signatureFinding(problem Problem, key, format string) SignatureFinding {
	return SignatureFinding{Problem: problem, Key: key, Detail: fmt.Sprintf(format, key)}
}
