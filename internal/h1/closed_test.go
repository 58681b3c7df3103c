package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveRaw answers the first request of one connection with response and then calls end.
func serveRaw(t *testing.T, response string, end func(conn io.Closer)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, response); err == nil {
			end(conn)
		}
	}()
	return listener.Addr().String()
}

func TestBodyTellsWhetherTheServerClosesItsConnection(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	const wait = 50 * time.Millisecond
	for name, c := range map[string]struct {
		response string
		end      func(conn io.Closer)
		closed   bool
	}{
		"the server keeps it":     {chunked, func(io.Closer) {}, false},
		"the server closes it":    {chunked, func(conn io.Closer) { _ = conn.Close() }, true},
		"a moment later":          {chunked, func(conn io.Closer) { time.Sleep(wait / 5); _ = conn.Close() }, true},
		"the server announced it": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", func(conn io.Closer) { _ = conn.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, c.response, c.end)
			response, err := NewClient(Options{ConnectTimeout: time.Second, MaxIdleTime: time.Second}).Do(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			require.NoError(t, err)
			defer response.Body.Close()
			require.False(t, response.Body.ClosedByServer(wait), "the response is not read yet")
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "ab", string(body))
			require.Equal(t, c.closed, response.Body.ClosedByServer(wait))
		})
	}
}
