package h1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silence is longer than a sound server is silent.
const silence = 2 * time.Second

// silentServer starts a server that is silent before it reads the request, within the head and within the body of its
// response, each for silence.
func silentServer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		time.Sleep(silence)
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		for _, part := range []string{"HTTP/1.1 200 OK\r\nId: ", "a\r\nContent-Length: 4\r\n\r\nbo", "dy"} {
			_, _ = io.WriteString(conn, part)
			time.Sleep(silence)
		}
	}()
	return listener.Addr().String()
}

func TestSilenceOfAServerEndsNoExchange(t *testing.T) {
	for name, size := range map[string]int{"small body": 4, "body larger than the buffers of the connection": 32 << 20} {
		for _, unreachableAfter := range []time.Duration{0, 3 * time.Second} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				client, sent := testClient(), request("a")
				sent.Body, sent.NewConnection, sent.UnreachableAfter = bytes.Repeat([]byte("x"), size), true, unreachableAfter
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				response, err := client.Do(ctx, silentServer(t), sent)
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
				require.NoError(t, response.Body.Close())
			})
		}
	}
}

func TestClosingIdleConnectionsKeepsARequestInProgress(t *testing.T) {
	arrived, answer := make(chan struct{}), make(chan struct{})
	address, _ := scriptedServer(t, func(n int, _ *http.Request) string {
		if n == 2 {
			close(arrived)
			<-answer
		}
		return "HTTP/1.1 200 OK\r\nId: " + string(rune('a'+n-1)) + "\r\nContent-Length: 4\r\n\r\nbody"
	})
	client := testClient()
	_, err := exchange(t, client, address, request("a"))
	require.NoError(t, err)
	go func() {
		<-arrived
		client.CloseIdleTo(address)
		client.CloseExpired(time.Now().Add(time.Hour))
		close(answer)
	}()
	body, err := exchange(t, client, address, request("b"))
	require.NoError(t, err)
	require.Equal(t, "body", body)
}
