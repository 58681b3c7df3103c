// Package identify finds the team of a request by the caller's API key. It does not
// decide what the team may use.
package identify

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// Filter sets Call.Team. It caches the key digests of the bundle in force.
type Filter struct {
	keys atomic.Pointer[keyTable]
}

// New returns the filter.
func New() *Filter { return &Filter{} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "identify" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	key, found := strings.CutPrefix(call.HTTP.Header.Get(authorizationHeader), bearerPrefix)
	if !found || key == "" {
		return request.Errorf(request.CodeMissingAPIKey, request.NotRun, "an API key is required in the header Authorization: Bearer KEY")
	}
	team := f.cachedKeys(call.Bundle).findTeam(sha256.Sum256([]byte(key)))
	if team == nil {
		return request.Errorf(request.CodeInvalidAPIKey, request.NotRun, "the API key is not known")
	}
	call.Team = team
	return next(ctx, call)
}

// cachedKeys returns the key digests of accepted. They are decoded once for each bundle.
func (f *Filter) cachedKeys(accepted *bundle.AcceptedBundle) *keyTable {
	if current := f.keys.Load(); current != nil && current.accepted == accepted {
		return current
	}
	built := newKeyTable(accepted)
	f.keys.Store(built)
	return built
}

// keyTable holds the decoded key digests of one bundle. The team of digests[i] is
// teams[i].
type keyTable struct {
	accepted *bundle.AcceptedBundle
	digests  [][sha256.Size]byte
	teams    []*bundle.Team
}

func newKeyTable(accepted *bundle.AcceptedBundle) *keyTable {
	table := &keyTable{accepted: accepted}
	for i := range accepted.Bundle.Teams {
		team := &accepted.Bundle.Teams[i]
		for _, hexDigest := range team.KeySHA256 {
			var digest [sha256.Size]byte
			decoded, err := hex.DecodeString(hexDigest)
			if err != nil || copy(digest[:], decoded) != sha256.Size {
				continue // the check of the bundle reports it
			}
			table.digests = append(table.digests, digest)
			table.teams = append(table.teams, team)
		}
	}
	return table
}

// findTeam returns the team whose key has the given digest, or nil. It compares with
// all digests in constant time, so that its duration reveals nothing about the keys.
func (t *keyTable) findTeam(digest [sha256.Size]byte) *bundle.Team {
	match := -1
	for i := range t.digests {
		equal := subtle.ConstantTimeCompare(t.digests[i][:], digest[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return nil
	}
	return t.teams[match]
}
