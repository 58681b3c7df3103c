package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// resettingServer answers each request with the beginning of a response without a length, before it has read the body of
// the request, and resets the connection after delay.
func resettingServer(t *testing.T, delay time.Duration) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, received.Body, 32<<10)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+received.Header.Get("Id")+"\r\n\r\nthe begi")
		time.Sleep(delay)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
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

// A reset is reported to the first call on the socket only. While the body of the request is still written, that call
// may be a write, and the reader sees the end of the response instead.
func TestResponseIsNotCompleteIfItsConnectionIsResetWhileTheRequestIsWritten(t *testing.T) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 512 << 10, 8 << 20} {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			t.Run(strconv.Itoa(size)+" bytes, "+delay.String(), func(t *testing.T) {
				t.Parallel()
				address := resettingServer(t, delay)
				for n := range 200 {
					sent := request(strconv.Itoa(n))
					sent.Body = make([]byte, size)
					response, err := testClient().Do(context.Background(), address, sent)
					if err != nil {
						continue // the reset has come before the head was read
					}
					body, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					require.Error(t, err, "%q must not look complete", body)
				}
			})
		}
	}
}
