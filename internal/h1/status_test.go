package h1

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A response with status 000 counted as an informational one, and the request waited for a final response until its deadline.
func TestResponseWithAnInvalidStatusIsMalformedAtOnce(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "1000", "-01", "abc"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			address, _ := scriptedServer(t, func(_ int, r *http.Request) string {
				return fmt.Sprintf("HTTP/1.1 %s Status\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("Id"))
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := testClient().Do(ctx, address, request("1"))
			require.ErrorIs(t, err, ErrMalformed)
			require.NoError(t, ctx.Err())
		})
	}
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	address, _ := scriptedServer(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 2\r\n\r\nok"
	})
	body, err := exchange(t, testClient(), address, request("1"))
	require.NoError(t, err)
	require.Equal(t, "ok", body)
}
