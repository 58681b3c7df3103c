package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client received for one request.
type answer struct {
	status int
	sealed bool
	body   string
}

// send sends one request on a connection of its own and reads the answer. The status is 0
// without a whole answer.
func send(front *machine, id, host, path, body string, deadline time.Duration) answer {
	return sendWithKey(front, id, host, path, body, "", deadline)
}

// sendWithKey is send with an API key, empty for none.
func sendWithKey(front *machine, id, host, path, body, key string, deadline time.Duration) answer {
	conn, err := net.DialTimeout("tcp", join(front.ip, portFront), time.Second)
	if err != nil {
		return answer{}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n",
		path, host, id, deadline.Milliseconds(), len(body))
	if key != "" {
		fmt.Fprintf(&head, "Credential: %s\r\n", key)
	}
	head.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return answer{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, sealed: response.Header.Get("Response-Seal") != "", body: string(content)}
}

// isReady asks a front VM whether it takes requests, as the platform does.
func (f *fleet) isReady(front *machine) bool {
	response, err := f.client.Get("http://" + join(front.ip, portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all front VMs are ready.
func (f *fleet) waitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, front := range f.machinesOf("front") {
			ready = ready && f.isReady(front)
		}
		if ready {
			return true
		}
	}
	return false
}
