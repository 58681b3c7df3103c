package identify

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
)

func accepted(version uint64, keys ...string) *bundle.Accepted {
	b := &bundle.Bundle{}
	for _, key := range keys {
		digest := sha256.Sum256([]byte(key))
		b.Teams = append(b.Teams, bundle.Team{Name: "team of " + key, KeySHA256: []string{hex.EncodeToString(digest[:])}})
	}
	return &bundle.Accepted{Version: version, Bundle: b}
}

func identified(f *Filter, in *bundle.Accepted, authorization string) string {
	call := &filter.Call{Bundle: in, HTTP: &http.Request{Header: http.Header{"Authorization": {authorization}}}}
	_ = f.Process(context.Background(), call, func(context.Context, *filter.Call) error { return nil })
	return call.TeamName()
}

func TestKeysFollowTheBundle(t *testing.T) {
	f := New()
	first, second := accepted(1, "a", "b"), accepted(2, "b", "c")
	require.Equal(t, "team of a", identified(f, first, "Bearer a"))
	require.Equal(t, "team of b", identified(f, first, "Bearer b"))
	require.Empty(t, identified(f, second, "Bearer a"), "a key that was taken away")
	require.Equal(t, "team of c", identified(f, second, "Bearer c"))
	require.Empty(t, identified(f, second, "Basic c"))
	require.Empty(t, identified(f, second, "Bearer "))
}

// BenchmarkIdentify compares a key with those of 1,700 teams.
func BenchmarkIdentify(b *testing.B) {
	keys := make([]string, 1700)
	for i := range keys {
		keys[i] = string(rune('a'+i%26)) + http.StatusText(i%600) + hex.EncodeToString([]byte{byte(i >> 8), byte(i)})
	}
	f, in := New(), accepted(1, keys...)
	for b.Loop() {
		identified(f, in, "Bearer "+keys[len(keys)-1])
	}
}
