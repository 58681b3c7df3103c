package command

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
)

// output records the output of a command.
type output struct{ out, err bytes.Buffer }

func (o *output) streams() Output { return Output{Out: &o.out, Err: &o.err} }

// copyExample copies the example bundle into folder and returns the name of the copy.
func copyExample(t *testing.T, folder string) string {
	text, err := os.ReadFile("../../examples/bundle.json")
	require.NoError(t, err)
	file := filepath.Join(folder, "bundle.json")
	require.NoError(t, os.WriteFile(file, text, 0o600))
	return file
}

// keygen creates an operator key in folder and returns its file and its public key.
func keygen(t *testing.T, folder, name string) (string, bundle.PublicKey) {
	var o output
	file := filepath.Join(folder, name+".key")
	arguments := BundleKeygenArguments{Name: name, Out: file}
	require.Equal(t, ExitOK, arguments.run(o.streams()), o.err.String())
	entry := struct{ Name, Ed25519 string }{}
	require.NoError(t, json.Unmarshal(o.out.Bytes(), &entry))
	return file, bundle.PublicKey{Name: entry.Name, Base64: entry.Ed25519}
}

// Signatures of two operators in one file must verify together, also after each operator
// has signed twice.
func TestSignaturesOfTwoOperators(t *testing.T) {
	folder := t.TempDir()
	file := copyExample(t, folder)
	var keys []bundle.PublicKey
	for _, name := range []string{"ana", "bo"} {
		keyFile, public := keygen(t, folder, name)
		keys = append(keys, public)
		info, err := os.Stat(keyFile)
		require.NoError(t, err)
		assert.Equal(t, os.FileMode(privateKeyFileMode), info.Mode().Perm())
		for range 2 { // the second signature replaces the first
			var o output
			sign := BundleSignArguments{File: file, Version: 3, Key: keyFile, Name: name}
			require.Equal(t, ExitOK, sign.run(o.streams()), o.err.String())
		}
	}
	signed, err := readSignatures(file + ".sig")
	require.NoError(t, err)
	ring, err := bundle.NewKeyring(2, keys)
	require.NoError(t, err)
	result := ring.Verify(bundle.Statement{Version: 3, Digest: signed.Digest}, signed.Signatures)
	assert.Empty(t, result.Findings)
	assert.Equal(t, 2, result.Valid)
}

func TestExitCodes(t *testing.T) {
	folder := t.TempDir()
	file := copyExample(t, folder)
	keyFile, _ := keygen(t, folder, "ana")
	sign := BundleSignArguments{File: file, Version: 3, Key: keyFile, Name: "ana"}
	require.Equal(t, ExitOK, sign.run(new(output).streams()))
	broken := filepath.Join(folder, "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte(`{"name": 1, "unknown": 2}`), 0o600))
	otherVersion := sign
	otherVersion.Version = 4

	cases := map[string]struct {
		run  func(Output) int
		code int
		says string
	}{
		"check":                     {(&BundleCheckArguments{File: file}).run, ExitOK, "no mistakes"},
		"check finds all mistakes":  {(&BundleCheckArguments{File: broken}).run, ExitFailure, "broken.json:1:13: unknown"},
		"key file exists":           {(&BundleKeygenArguments{Name: "ana", Out: keyFile}).run, ExitFailure, "exists"},
		"sign as another version":   {otherVersion.run, ExitFailure, "another version"},
		"sign with no key":          {(&BundleSignArguments{File: file, Version: 3, Key: file, Name: "ana"}).run, ExitFailure, "not an ed25519"},
		"submit names no VM":        {(&BundleSubmitArguments{File: file}).run, ExitUsage, "--settings or --address"},
		"submit without signatures": {(&BundleSubmitArguments{File: file, Signatures: "none"}).run, ExitFailure, "none"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var o output
			assert.Equal(t, c.code, c.run(o.streams()))
			assert.Contains(t, o.out.String()+o.err.String(), c.says)
		})
	}
}
