package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedServer starts a server that sends the text respond(n, request) for the n-th request over all connections,
// counted from 1. An empty text closes the connection.
func scriptedServer(t *testing.T, respond func(n int, request *http.Request) string) (address string, connections *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var served, opened atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					text := respond(int(served.Add(1)), request)
					if text == "" {
						return
					}
					_, _ = io.WriteString(conn, text)
					if strings.Contains(text, "Connection: close") {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), &opened
}

func testClient() *Client {
	return NewClient(Options{ConnectTimeout: time.Second, MaxIdleTime: time.Minute, EchoHeader: "Id"})
}

func request(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/p?q=%2F", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body")}
}

func exchange(t *testing.T, c *Client, address string, r *Request) (string, error) {
	t.Helper()
	response, err := c.Do(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, response.Body.Close())
	return string(body), err
}

const ok = "HTTP/1.1 200 OK\r\nId: %\r\nContent-Length: 2\r\n\r\nok"

func responseTo(id string) string { return strings.Replace(ok, "%", id, 1) }

func TestIdleConnectionIsReused(t *testing.T) {
	address, connections := scriptedServer(t, func(_ int, r *http.Request) string { return responseTo(r.Header.Get("Id")) })
	c := testClient()
	for _, id := range []string{"1", "2", "3"} {
		body, err := exchange(t, c, address, request(id))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 1, connections.Load())
	withNewConnection := request("4")
	withNewConnection.NewConnection = true
	_, err := exchange(t, c, address, withNewConnection)
	require.NoError(t, err)
	require.EqualValues(t, 2, connections.Load())
}

// A server may send a response twice. The extra one must not be returned for the next request on the connection.
func TestStrayResponseIsSkipped(t *testing.T) {
	address, _ := scriptedServer(t, func(n int, r *http.Request) string {
		if n == 2 { // a second response to the first request arrives late
			return strings.Replace(responseTo("1"), "ok", "no", 1) + responseTo(r.Header.Get("Id"))
		}
		return responseTo(r.Header.Get("Id"))
	})
	c := testClient()
	for _, id := range []string{"1", "2"} {
		body, err := exchange(t, c, address, request(id))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
}

const refusal = "HTTP/1.1 503 Service Unavailable\r\n%Rejected: 1\r\nContent-Length: 2\r\n\r\nno"

// The server writes an earlier refusal once more on a kept connection, when the next request has arrived.
func TestRefusalOfAnEarlierRequestIsNotReturned(t *testing.T) {
	earlier := strings.Replace(refusal, "%", "Id: 1\r\n", 1)
	for name, stray := range map[string]string{
		"without an id":               strings.Replace(refusal, "%", "", 1),
		"with an empty id":            strings.Replace(refusal, "%", "Id:\r\n", 1),
		"with the earlier id":         earlier,
		"with another id":             strings.Replace(refusal, "%", "Id: x\r\n", 1),
		"twice":                       earlier + earlier,
		"after an interim response":   "HTTP/1.1 100 Continue\r\n\r\n" + earlier,
		"before an interim response":  earlier + "HTTP/1.1 100 Continue\r\n\r\n",
		"in chunks":                   "HTTP/1.1 503 No\r\nId: 1\r\nRejected: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"without a body":              "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"400 without an id":           "HTTP/1.1 400 Bad Request\r\nRejected: 1\r\nContent-Length: 0\r\n\r\n",
		"404 without an id":           "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"more often than is accepted": strings.Repeat(earlier, maxStrayResponses+1),
		"and closes the connection":   strings.Replace(earlier, "Rejected", "Connection: close\r\nRejected", 1),
	} {
		for _, bodyBytes := range []int{4, 4 * minConcurrentBodyBytes} {
			t.Run(name+" "+strconv.Itoa(bodyBytes), func(t *testing.T) {
				address, connections := scriptedServer(t, func(n int, r *http.Request) string {
					if n == 2 {
						return stray + responseTo(r.Header.Get("Id"))
					}
					return responseTo(r.Header.Get("Id"))
				})
				c := testClient()
				_, err := exchange(t, c, address, request("1"))
				require.NoError(t, err)
				next := request("2")
				next.Body = make([]byte, bodyBytes)
				body, err := exchange(t, c, address, next)
				if err != nil {
					require.ErrorIs(t, err, ErrMalformed, "the request may have run")
					require.NotErrorIs(t, err, ErrNotSent)
				} else {
					require.Equal(t, "ok", body)
				}
				require.EqualValues(t, 1, connections.Load())
			})
		}
	}
}

func TestRefusalThatArrivesOnAnIdleConnectionIsNotReturned(t *testing.T) {
	address, connections := scriptedServer(t, func(_ int, r *http.Request) string {
		return responseTo(r.Header.Get("Id")) + strings.Replace(refusal, "%", "Id: 2\r\n", 1)
	})
	c := testClient()
	for _, id := range []string{"1", "2"} {
		body, err := exchange(t, c, address, request(id))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		time.Sleep(20 * time.Millisecond)
	}
	require.EqualValues(t, 2, connections.Load())
}

// A request that is sent again must not get a late second response to its first sending, also if other requests have used
// the connection since.
func TestConnectionIsNotReusedForARequestThatItHasCarried(t *testing.T) {
	address, connections := scriptedServer(t, func(_ int, r *http.Request) string { return responseTo(r.Header.Get("Id")) })
	c := testClient()
	for _, id := range []string{"1", "2", "3", "1"} {
		_, err := exchange(t, c, address, request(id))
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, connections.Load())
	for n := range 2 * maxRequestsPerConn {
		_, err := exchange(t, c, address, request(strconv.Itoa(10+n)))
		require.NoError(t, err)
	}
	require.EqualValues(t, 4, connections.Load(), "the ids of a connection are bounded")
}

// The wait for the end of an earlier response without a length lasted until the deadline of the request.
func TestStrayResponseWithoutALengthEndsTheRequest(t *testing.T) {
	address, _ := scriptedServer(t, func(n int, r *http.Request) string {
		if n == 2 {
			return "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok"
		}
		return responseTo(r.Header.Get("Id"))
	})
	c := testClient()
	_, err := exchange(t, c, address, request("1"))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = c.Do(ctx, address, request("2"))
	require.ErrorIs(t, err, ErrMalformed)
	require.NoError(t, ctx.Err())
}

// The response to a request cannot be told from the one to an earlier request with the same id, or if it has none.
func TestConnectionIsNotReusedForARequestWithoutAnIDOfItsOwn(t *testing.T) {
	for name, ids := range map[string][2]string{"same id": {"1", "1"}, "no id": {"1", ""}} {
		t.Run(name, func(t *testing.T) {
			address, connections := scriptedServer(t, func(_ int, r *http.Request) string {
				return responseTo(r.Header.Get("Id"))
			})
			c := testClient()
			_, err := exchange(t, c, address, request(ids[0]))
			require.NoError(t, err)
			_, err = exchange(t, c, address, request(ids[1]))
			require.NoError(t, err)
			require.EqualValues(t, 2, connections.Load())
		})
	}
}

func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	address, connections := scriptedServer(t, func(_ int, r *http.Request) string {
		return responseTo(r.Header.Get("Id")) + "garbage"
	})
	c := testClient()
	for _, id := range []string{"1", "2"} {
		body, err := exchange(t, c, address, request(id))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		time.Sleep(20 * time.Millisecond)
	}
	require.EqualValues(t, 2, connections.Load())
}

func TestIncompleteResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":                   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
		"missing last chunk":               "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n",
		"no response":                      "",
		"not HTTP":                         "what is this\r\nConnection: close\r\n\r\n",
		"responses to other requests only": responseTo("7") + responseTo("8") + responseTo("9"),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := scriptedServer(t, func(int, *http.Request) string { return text })
			_, err := exchange(t, testClient(), address, request("1"))
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrNotSent, "the request may have run")
		})
	}
}

func TestUnreachableServerGivesErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = testClient().Do(context.Background(), address, request("1"))
	require.ErrorIs(t, err, ErrNotSent)
}

func TestCancelledRequestClosesItsConnection(t *testing.T) {
	released := make(chan struct{})
	address, _ := scriptedServer(t, func(int, *http.Request) string { <-released; return "" })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	_, err := testClient().Do(ctx, address, request("1"))
	close(released)
	require.ErrorIs(t, err, context.Canceled)
	require.Less(t, time.Since(start), time.Second)
}

// The server responds before it has read the body of the request, so the rest of the body is still being sent when the
// response is complete. A further request on the connection would be read as part of that body.
func TestConnectionIsNotReusedWhileTheBodyIsBeingSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { // responds before it reads the body
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, responseTo("1"))
				}
			}()
		}
	}()
	long := request("1")
	long.Body = make([]byte, 32<<20)
	c := testClient()
	body, err := exchange(t, c, listener.Addr().String(), long)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Nil(t, c.takeIdle(listener.Addr().String()), "the rest of the body is still being sent")
}

func TestTargetAndHostAreSentUnchanged(t *testing.T) {
	var seen atomic.Pointer[http.Request]
	address, _ := scriptedServer(t, func(_ int, r *http.Request) string {
		seen.Store(r)
		return responseTo(r.Header.Get("Id"))
	})
	_, err := exchange(t, testClient(), address, request("1"))
	require.NoError(t, err)
	require.Equal(t, "/p?q=%2F", seen.Load().RequestURI)
	require.Equal(t, "h", seen.Load().Host)
}

// endlessServer answers each connection with start and then with repeated until the client closes the connection. It
// returns its address and a channel that receives the number of bytes that were sent.
func endlessServer(t *testing.T, start, repeated string) (address string, sent chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sent = make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		total, chunk := 0, strings.Repeat(repeated, 1000)
		for part := start; ; part = chunk {
			n, err := io.WriteString(conn, part)
			total += n
			if err != nil {
				sent <- total
				return
			}
		}
	}()
	return listener.Addr().String(), sent
}

func TestEndlessBytesBeforeAResponseEndTheRequest(t *testing.T) {
	const socketBufferBytes = 16 << 20 // more than the kernel buffers on both ends
	for name, answer := range map[string][2]string{
		"bytes":         {"", "x"},
		"lines":         {"", "x\r\n"},
		"status line":   {"HTTP/1.1 200 ", "OK"},
		"header field":  {"HTTP/1.1 200 OK\r\nId: 1\r\nX: ", "x"},
		"header":        {"HTTP/1.1 200 OK\r\nId: 1\r\n", "X: x\r\n"},
		"1xx responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"stray body":    {"HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endlessServer(t, answer[0], answer[1])
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := testClient().Do(ctx, address, request("1"))
			require.ErrorIs(t, err, ErrMalformed)
			require.NoError(t, ctx.Err(), "the request must not wait for its deadline")
			select {
			case total := <-sent:
				require.Less(t, total, socketBufferBytes)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the connection was not closed")
			}
		})
	}
}

func TestResponseToAHeadRequestDoesNotEndWithItsConnection(t *testing.T) {
	address, connections := scriptedServer(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\n\r\n"
	})
	c := testClient()
	for _, id := range []string{"1", "2"} {
		head := &Request{Method: http.MethodHead, Target: "/", Host: "h", Header: http.Header{"Id": {id}}}
		response, err := c.Do(context.Background(), address, head)
		require.NoError(t, err)
		require.False(t, response.EndsWithConnection, "it has no body")
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.EqualValues(t, 1, connections.Load())
}
