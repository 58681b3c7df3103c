package h1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// cuttingServer answers the last of the given number of requests on each connection with the first sent bytes of text, and
// then closes the connection, with a reset if reset is set. It answers the requests before in full.
func cuttingServer(t *testing.T, requests int, reset bool, text string, sent *atomic.Int32) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for n := 1; ; n++ {
			received, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, received.Body)
			if n < requests {
				_, _ = io.WriteString(conn, responseTo(received.Header.Get("Id")))
				continue
			}
			_, _ = io.WriteString(conn, text[:sent.Load()])
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func TestResponseThatStopsAtAnyByteIsAnError(t *testing.T) {
	const body = "event one, event two"
	for name, answer := range map[string]struct {
		text string
		// endsWithConnection is set if the body ends with the connection, unless that is reset.
		endsWithConnection bool
	}{
		"length first":        {text: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nId: x\r\nSeal: s\r\n\r\n" + body},
		"length last":         {text: "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\nContent-Length: 20\r\n\r\n" + body},
		"line feeds":          {text: "HTTP/1.1 200 OK\nId: x\nSeal: s\nContent-Length: 20\n\n" + body},
		"folded field":        {text: "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n  t\r\nContent-Length: 20\r\n\r\n" + body},
		"announced close":     {text: "HTTP/1.1 200 OK\r\nId: x\r\nConnection: close\r\nContent-Length: 20\r\n\r\n" + body},
		"empty body":          {text: "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n"},
		"no content":          {text: "HTTP/1.1 204 No Content\r\nId: x\r\nSeal: s\r\n\r\n"},
		"after an interim":    {text: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 20\r\n\r\n" + body},
		"after another":       {text: "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 20\r\n\r\n" + body},
		"chunks":              {text: "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nevent one\r\nb;e=1\r\n, event two\r\n0\r\n\r\n"},
		"chunks and trailer":  {text: "HTTP/1.1 200 OK\r\nId: x\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n" + body + "\r\n0\r\nSum: 1\r\n\r\n"},
		"no length":           {text: "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n\r\n" + body, endsWithConnection: true},
		"no length, HTTP/1.0": {text: "HTTP/1.0 200 OK\r\nId: x\r\nSeal: s\r\n\r\n" + body, endsWithConnection: true},
	} {
		for _, reset := range []bool{false, true} {
			for _, requests := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s/reset=%v/requests=%d", name, reset, requests), func(t *testing.T) {
					t.Parallel()
					var sent atomic.Int32
					address := cuttingServer(t, requests, reset, answer.text, &sent)
					c := testClient()
					ask := func(bytes int) (string, error) {
						sent.Store(int32(bytes))
						for range requests - 1 {
							_, err := exchange(t, c, address, request("0"))
							require.NoError(t, err)
						}
						return exchange(t, c, address, request("x"))
					}
					shown := len(answer.text)
					if answer.endsWithConnection && !reset {
						shown = strings.Index(answer.text, body)
					}
					for bytes := range shown {
						received, err := ask(bytes)
						require.Error(t, err, "the first %d bytes were taken for a complete response with body %q", bytes, received)
						require.NotErrorIs(t, err, ErrNotSent, "the request may have run")
					}
					if !reset {
						_, err := ask(len(answer.text))
						require.NoError(t, err, "the whole response")
					}
				})
			}
		}
	}
}
