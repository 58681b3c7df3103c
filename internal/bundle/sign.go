package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// statementPrefix begins every signed message, so that a signature that the
// operator key made for another purpose is not valid for a bundle.
const statementPrefix = "godwityoke bundle v1"

// Statement is what operators sign: that the content with this digest is the
// bundle of this version. Since the version is signed, no VM that relays a bundle
// can give old content a higher version.
type Statement struct {
	Version uint64
	Digest  string
}

func (s Statement) message() []byte {
	return []byte(statementPrefix + "\n" + strconv.FormatUint(s.Version, 10) + "\n" + s.Digest + "\n")
}

// Sign signs s with the operator key named name.
func Sign(s Statement, name string, key ed25519.PrivateKey) Signature {
	return Signature{Key: name, Value: base64.StdEncoding.EncodeToString(ed25519.Sign(key, s.message()))}
}

// Problem is the kind of a problem of a bundle's signatures.
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
	// Key is the name of the operator key, or "" for ProblemTooFewSignatures.
	Key string `json:"key,omitempty"`
	// Detail describes the problem to the operator.
	Detail string `json:"detail"`
}

// SignatureFindings are all problems of a bundle's signatures.
type SignatureFindings []SignatureFinding

// Error implements the error interface. It returns one line for each finding.
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

// PublicKey is the named public key of an operator.
type PublicKey struct {
	Name string
	// Base64 is the ed25519 public key in base64.
	Base64 string
}

// ErrInvalidKey means that an operator key is not an ed25519 public key.
var ErrInvalidKey = errors.New("not an ed25519 public key in base64")

// NewKeyring returns a keyring with keys, which requires the given number of valid
// signatures. It returns ErrInvalidKey for a key that can't be decoded.
func NewKeyring(required int, keys []PublicKey) (*Keyring, error) {
	keyring := &Keyring{required: required, keys: make(map[string]ed25519.PublicKey, len(keys))}
	for _, key := range keys {
		raw, err := base64.StdEncoding.DecodeString(key.Base64)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("operator key %q: %w", key.Name, ErrInvalidKey)
		}
		keyring.keys[key.Name] = raw
	}
	return keyring, nil
}

// VerifyResult is the result of Keyring.Verify.
type VerifyResult struct {
	// Valid is the number of different keys with a valid signature.
	Valid int
	// Required is the number of different keys that must have signed.
	Required int
	// Findings has a finding for each signature that is not valid, and one if there
	// are too few valid signatures.
	Findings SignatureFindings
}

// IsSufficient reports whether enough different keys have valid signatures. A VM that
// receives an accepted bundle ignores other findings, such as unknown keys, so that it
// keeps working while its settings lag behind a change of the operators' keys.
func (v VerifyResult) IsSufficient() bool { return v.Valid >= v.Required }

// Verify checks the signatures over s. Each key counts once, also if it has two names.
func (r *Keyring) Verify(s Statement, signatures []Signature) VerifyResult {
	result := VerifyResult{Required: r.required}
	seen := map[string]bool{}
	counted := map[string]bool{}
	for _, signature := range signatures {
		finding, found := r.checkSignature(s, signature, seen)
		seen[signature.Key] = true
		if found {
			result.Findings = append(result.Findings, finding)
			continue
		}
		counted[string(r.keys[signature.Key])] = true
	}
	result.Valid = len(counted)
	if !result.IsSufficient() {
		detail := fmt.Sprintf("%d valid signatures of different keys, required: %d", result.Valid, r.required)
		result.Findings = append(result.Findings, SignatureFinding{Problem: ProblemTooFewSignatures, Detail: detail})
	}
	return result
}

// checkSignature returns the problem of signature and true, or false if the signature
// is valid. Seen has the names of the keys whose signatures were checked before.
func (r *Keyring) checkSignature(s Statement, signature Signature, seen map[string]bool) (SignatureFinding, bool) {
	key, known := r.keys[signature.Key]
	if !known {
		return signatureFinding(ProblemUnknownKey, signature.Key, "key %q is not in the settings"), true
	}
	if seen[signature.Key] {
		return signatureFinding(ProblemRepeatedKey, signature.Key, "key %q signed more than once"), true
	}
	raw, err := base64.StdEncoding.DecodeString(signature.Value)
	if err != nil || !ed25519.Verify(key, s.message(), raw) {
		return signatureFinding(ProblemInvalidSignature, signature.Key, "the signature of key %q is wrong for this content and version"), true
	}
	return SignatureFinding{}, false
}

func signatureFinding(problem Problem, key, format string) SignatureFinding {
	return SignatureFinding{Problem: problem, Key: key, Detail: fmt.Sprintf(format, key)}
}
