package distribute_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a connection with a one-way delay that can drop all bytes of a direction: writes then succeed without effect,
// and reads block until the link is closed.
type link struct {
	net.Conn
	// from is the VM that dialed, to the VM that listens.
	from, to string
	delay    time.Duration
	// dropOutgoing and dropIncoming drop the bytes to and from the listener.
	dropOutgoing atomic.Bool
	dropIncoming atomic.Bool
	carriedBytes atomic.Int64
	closed       chan struct{}
	closeOnce    sync.Once
	outgoing     chan delayedChunk
	incoming     chan delayedChunk
	unread       []byte
}

// delayedChunk is a piece of the byte stream and the time at which it is delivered.
type delayedChunk struct {
	data []byte
	due  time.Time
	err  error
}

func newLink(conn net.Conn, from, to string, delay time.Duration) *link {
	l := &link{Conn: conn, from: from, to: to, delay: delay, closed: make(chan struct{})}
	l.outgoing = make(chan delayedChunk, 1024)
	l.incoming = make(chan delayedChunk, 1024)
	go l.forwardOutgoing()
	go l.forwardIncoming()
	return l
}

func (l *link) Write(data []byte) (int, error) {
	chunk := delayedChunk{data: append([]byte(nil), data...), due: time.Now().Add(l.delay)}
	select {
	case <-l.closed:
		return 0, net.ErrClosed
	case l.outgoing <- chunk:
		return len(data), nil
	}
}

func (l *link) forwardOutgoing() {
	for {
		select {
		case <-l.closed:
			return
		case chunk := <-l.outgoing:
			if !l.waitUntil(chunk.due) {
				return
			}
			if l.dropOutgoing.Load() {
				continue
			}
			l.carriedBytes.Add(int64(len(chunk.data)))
			if _, err := l.Conn.Write(chunk.data); err != nil {
				return
			}
		}
	}
}

func (l *link) forwardIncoming() {
	for {
		buffer := make([]byte, 32<<10)
		count, err := l.Conn.Read(buffer)
		if l.dropIncoming.Load() {
			if err != nil {
				return
			}
			continue
		}
		l.carriedBytes.Add(int64(count))
		select {
		case <-l.closed:
			return
		case l.incoming <- delayedChunk{data: buffer[:count], due: time.Now().Add(l.delay), err: err}:
		}
		if err != nil {
			return
		}
	}
}

func (l *link) Read(buffer []byte) (int, error) {
	if len(l.unread) == 0 {
		select {
		case <-l.closed:
			return 0, net.ErrClosed
		case chunk := <-l.incoming:
			if !l.waitUntil(chunk.due) {
				return 0, net.ErrClosed
			}
			if chunk.err != nil {
				return 0, chunk.err
			}
			l.unread = chunk.data
		}
	}
	count := copy(buffer, l.unread)
	l.unread = l.unread[count:]
	return count, nil
}

// waitUntil waits until due. It returns false if the link is closed before.
func (l *link) waitUntil(due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-l.closed:
		return false
	case <-timer.C:
		return true
	}
}

func (l *link) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Conn.Close()
}
