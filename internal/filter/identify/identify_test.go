package identify

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
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

// BenchmarkCapacityIdentify reports the time to find the team of a key.
func BenchmarkCapacityIdentify(b *testing.B) {
	for _, teams := range []int{10, 400, 1700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			keys := make([]string, teams)
			for i := range keys {
				keys[i] = fmt.Sprintf("key-%d", i)
			}
			f, in := New(), accepted(1, keys...)
			for b.Loop() {
				identified(f, in, "Bearer "+keys[len(keys)-1])
			}
		})
	}
}
