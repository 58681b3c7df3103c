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

// newBundle returns a bundle with one team for each key.
func newBundle(version uint64, keys ...string) *bundle.AcceptedBundle {
	b := &bundle.Bundle{}
	for _, key := range keys {
		digest := sha256.Sum256([]byte(key))
		b.Teams = append(b.Teams, bundle.Team{Name: "team of " + key, KeySHA256: []string{hex.EncodeToString(digest[:])}})
	}
	return &bundle.AcceptedBundle{Version: version, Bundle: b}
}

// identifyTeam returns the name of the team that f finds for an Authorization header.
func identifyTeam(f *Filter, current *bundle.AcceptedBundle, authorization string) string {
	call := &filter.Call{Bundle: current, HTTP: &http.Request{Header: http.Header{"Authorization": {authorization}}}}
	_ = f.Process(context.Background(), call, func(context.Context, *filter.Call) error { return nil })
	return call.TeamName()
}

// TestKeysOfTheCurrentBundleAreUsed replaces a bundle. A key that the new one does not
// have must no longer identify a team, although the old digests were cached.
func TestKeysOfTheCurrentBundleAreUsed(t *testing.T) {
	f := New()
	first, second := newBundle(1, "a", "b"), newBundle(2, "b", "c")
	require.Equal(t, "team of a", identifyTeam(f, first, "Bearer a"))
	require.Equal(t, "team of b", identifyTeam(f, first, "Bearer b"))
	require.Empty(t, identifyTeam(f, second, "Bearer a"), "a key that the bundle no longer has must be refused")
	require.Equal(t, "team of c", identifyTeam(f, second, "Bearer c"))
	require.Empty(t, identifyTeam(f, second, "Basic c"))
	require.Empty(t, identifyTeam(f, second, "Bearer "))
}

// BenchmarkCapacityIdentify reports the time to find the team of a key.
func BenchmarkCapacityIdentify(b *testing.B) {
	for _, teams := range []int{10, 400, 1700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			keys := make([]string, teams)
			for i := range keys {
				keys[i] = fmt.Sprintf("key-%d", i)
			}
			f, current := New(), newBundle(1, keys...)
			for b.Loop() {
				identifyTeam(f, current, "Bearer "+keys[len(keys)-1])
			}
		})
	}
}
