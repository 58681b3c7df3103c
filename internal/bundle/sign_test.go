package bundle_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
)

type signer struct {
	name   string
	key    ed25519.PrivateKey
	public bundle.PublicKey
}

func newSigner(name string, seed byte) signer {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
	public := base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
	return signer{name: name, key: key, public: bundle.PublicKey{Name: name, Base64: public}}
}

// TestVerifyReportsEachSignatureProblem guards against a bundle that is accepted with too
// few operators: by repeated signatures, by a second name of a key, or by signatures for
// another version.
func TestVerifyReportsEachSignatureProblem(t *testing.T) {
	ana, bo, eve := newSigner("ana", 1), newSigner("bo", 2), newSigner("eve", 3)
	twin := ana
	twin.name, twin.public.Name = "ana-again", "ana-again"
	keyring, err := bundle.NewKeyring(2, []bundle.PublicKey{ana.public, bo.public, twin.public})
	require.NoError(t, err)
	statement := bundle.Statement{Version: 5, Digest: bundle.Digest([]byte("content"))}
	other := bundle.Statement{Version: 6, Digest: statement.Digest}
	sign := func(o signer) bundle.Signature { return bundle.Sign(statement, o.name, o.key) }

	cases := map[string]struct {
		signatures []bundle.Signature
		sufficient bool
		problems   []bundle.Problem
	}{
		"two keys":           {[]bundle.Signature{sign(ana), sign(bo)}, true, nil},
		"none":               {nil, false, []bundle.Problem{bundle.ProblemTooFewSignatures}},
		"repeated":           {[]bundle.Signature{sign(ana), sign(ana)}, false, []bundle.Problem{bundle.ProblemRepeatedKey, bundle.ProblemTooFewSignatures}},
		"one key, two names": {[]bundle.Signature{sign(ana), sign(twin)}, false, []bundle.Problem{bundle.ProblemTooFewSignatures}},
		"unknown":            {[]bundle.Signature{sign(ana), sign(eve)}, false, []bundle.Problem{bundle.ProblemUnknownKey, bundle.ProblemTooFewSignatures}},
		"enough and unknown": {[]bundle.Signature{sign(ana), sign(bo), sign(eve)}, true, []bundle.Problem{bundle.ProblemUnknownKey}},
		"other version":      {[]bundle.Signature{sign(ana), bundle.Sign(other, "bo", bo.key)}, false, []bundle.Problem{bundle.ProblemInvalidSignature, bundle.ProblemTooFewSignatures}},
		"key of another":     {[]bundle.Signature{sign(ana), bundle.Sign(statement, "bo", eve.key)}, false, []bundle.Problem{bundle.ProblemInvalidSignature, bundle.ProblemTooFewSignatures}},
		"not base64":         {[]bundle.Signature{sign(ana), {Key: "bo", Value: "?"}}, false, []bundle.Problem{bundle.ProblemInvalidSignature, bundle.ProblemTooFewSignatures}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result := keyring.Verify(statement, c.signatures)
			var problems []bundle.Problem
			for _, finding := range result.Findings {
				problems = append(problems, finding.Problem)
			}
			assert.Equal(t, c.problems, problems)
			assert.Equal(t, c.sufficient, result.IsSufficient())
		})
	}
}

// TestCompressionWithBaseIsSmallAndReversible also checks that content beyond
// MaxContentBytes is not decompressed.
func TestCompressionWithBaseIsSmallAndReversible(t *testing.T) {
	var text strings.Builder
	for i := range 2000 {
		text.WriteString(bundle.Digest([]byte{byte(i), byte(i >> 8)}))
	}
	base := []byte(text.String())
	content := append([]byte("changed"), base...)
	whole, err := bundle.Compress(content, nil)
	require.NoError(t, err)
	delta, err := bundle.Compress(content, base)
	require.NoError(t, err)
	assert.Less(t, len(delta)*20, len(whole))

	for _, c := range []struct{ compressed, base []byte }{{whole, nil}, {delta, base}} {
		decompressed, err := bundle.Decompress(c.compressed, c.base)
		require.NoError(t, err)
		assert.Equal(t, content, decompressed)
	}
	oversized, err := bundle.Compress(make([]byte, bundle.MaxContentBytes+1), nil)
	require.NoError(t, err)
	_, err = bundle.Decompress(oversized, nil)
	assert.ErrorIs(t, err, bundle.ErrTooLarge)
}

func TestDiffMatchesListElementsByName(t *testing.T) {
	before := &bundle.Bundle{Name: "b", Models: []bundle.Model{{Name: "lace", Version: "1"}, {Name: "tide", Version: "1"}}}
	after := &bundle.Bundle{Name: "b", Models: []bundle.Model{{Name: "tide", Version: "2"}, {Name: "lace", Version: "1"}}}
	changes, err := bundle.Diff(before, after)
	require.NoError(t, err)
	assert.Equal(t, []bundle.Change{{Path: "models[tide].version", Old: `"1"`, New: `"2"`}}, changes)
}
