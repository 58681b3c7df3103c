package distribute_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a connection that delays what it carries and can go silent: writes
// then succeed and are lost, reads wait for ever.
type link struct {
	net.Conn
	from, to string
	delay    time.Duration
	// lostOut and lostIn lose what goes to and comes from the listener.
	lostOut  atomic.Bool
	lostIn   atomic.Bool
	carried  atomic.Int64
	closed   chan struct{}
	once     sync.Once
	outgoing chan parcel
	incoming chan parcel
	unread   []byte
}

// parcel is a piece of the byte stream that is due at a time.
type parcel struct {
	data []byte
	due  time.Time
	err  error
}

func newLink(conn net.Conn, from, to string, delay time.Duration) *link {
	l := &link{Conn: conn, from: from, to: to, delay: delay, closed: make(chan struct{})}
	l.outgoing = make(chan parcel, 1024)
	l.incoming = make(chan parcel, 1024)
	go l.pumpOut()
	go l.pumpIn()
	return l
}

func (l *link) Write(data []byte) (int, error) {
	p := parcel{data: append([]byte(nil), data...), due: time.Now().Add(l.delay)}
	select {
	case <-l.closed:
		return 0, net.ErrClosed
	case l.outgoing <- p:
		return len(data), nil
	}
}

func (l *link) pumpOut() {
	for {
		select {
		case <-l.closed:
			return
		case p := <-l.outgoing:
			if !l.wait(p.due) {
				return
			}
			if l.lostOut.Load() {
				continue
			}
			l.carried.Add(int64(len(p.data)))
			if _, err := l.Conn.Write(p.data); err != nil {
				return
			}
		}
	}
}

func (l *link) pumpIn() {
	for {
		buffer := make([]byte, 32<<10)
		count, err := l.Conn.Read(buffer)
		if l.lostIn.Load() {
			if err != nil {
				return
			}
			continue
		}
		l.carried.Add(int64(count))
		select {
		case <-l.closed:
			return
		case l.incoming <- parcel{data: buffer[:count], due: time.Now().Add(l.delay), err: err}:
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
		case p := <-l.incoming:
			if !l.wait(p.due) {
				return 0, net.ErrClosed
			}
			if p.err != nil {
				return 0, p.err
			}
			l.unread = p.data
		}
	}
	count := copy(buffer, l.unread)
	l.unread = l.unread[count:]
	return count, nil
}

func (l *link) wait(due time.Time) bool {
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
	l.once.Do(func() { close(l.closed) })
	return l.Conn.Close()
}
