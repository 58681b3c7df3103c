package claim

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/request"
)

// failingClaims refuses each claim with err.
type failingClaims struct{ err error }

// Claim implements ledger.Claimer.
func (f failingClaims) Claim(context.Context, ledger.Key, [32]byte) (ledger.Claim, *ledger.Record, error) {
	return nil, nil, f.err
}

// Lookup implements ledger.Claimer.
func (f failingClaims) Lookup(context.Context, ledger.Key) (*ledger.Record, error) { return nil, f.err }

// newBookingCall returns a non-idempotent call with an idempotency key.
func newBookingCall(key string) *filter.Call {
	httpRequest, _ := http.NewRequest(http.MethodPost, "/services/booking/voyages", nil)
	httpRequest.Header.Set(request.IdempotencyKeyHeader, key)
	return &filter.Call{
		Kind: request.KindService, HTTP: httpRequest, Path: "/voyages", Team: &bundle.Team{Name: "families"},
		Service: filter.Service{Name: "booking", Operation: &bundle.Operation{Name: "book"}},
	}
}

// TestCallIsNotSentWithoutAClaim checks the error code for each refusal of the ledger,
// and that the call is not sent.
func TestCallIsNotSentWithoutAClaim(t *testing.T) {
	cases := []struct {
		claims ledger.Claimer
		code   request.Code
	}{
		{failingClaims{ledger.ErrConflict}, request.CodeKeyConflict},
		{failingClaims{ledger.ErrInProgress}, request.CodeKeyInProgress},
		{failingClaims{ledger.ErrExpired}, request.CodeKeyExpired},
		{failingClaims{ledger.ErrNoQuorum}, request.CodeClaimsUnreachable},
		{failingClaims{errors.New("else")}, request.CodeInternal},
		{nil, request.CodeClaimsUnreachable},
	}
	for _, c := range cases {
		sent := false
		err := New(c.claims, nil).Process(t.Context(), newBookingCall("k"), func(context.Context, *filter.Call) error {
			sent = true
			return nil
		})
		var failure *request.Error
		require.ErrorAs(t, err, &failure)
		require.Equal(t, c.code, failure.Code)
		require.Equal(t, request.NotSent, failure.Outcome)
		require.False(t, sent)
	}
}

func TestDigestCoversMethodPathAndQueryButNotTheKey(t *testing.T) {
	first, path, method := newBookingCall("k"), newBookingCall("k"), newBookingCall("k")
	path.Path = "/voyages/7"
	method.HTTP.Method = http.MethodPut
	query := newBookingCall("k")
	query.HTTP.URL.RawQuery = "a=b"
	require.Equal(t, digest(first), digest(newBookingCall("other key")))
	for _, other := range []*filter.Call{path, method, query} {
		require.NotEqual(t, digest(first), digest(other))
	}
}
