package hub

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/transport"
)

// powerSwitch opens connections that carry nothing once the peer at an address is off: its machine sends no resets and
// acknowledges no bytes, so that writes block on a full send buffer.
type powerSwitch struct {
	mu  sync.Mutex
	off map[string]bool
}

func (p *powerSwitch) isOff(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.off[address]
}

func (p *powerSwitch) turnOff(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off[address] = true
}

func (p *powerSwitch) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.isOff(address) {
		<-ctx.Done() // no answer to the SYN
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &poweredConn{Conn: conn, power: p, address: address, closed: make(chan struct{})}, nil
}

type poweredConn struct {
	net.Conn
	power   *powerSwitch
	address string
	closed  chan struct{}
	once    sync.Once
}

func (c *poweredConn) Write(b []byte) (int, error) {
	if c.power.isOff(c.address) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *poweredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.power.isOff(c.address) {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *poweredConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// An entry VM was without a control VM for 5 s more, and refused what newer versions allowed, if its send buffer to a control VM
// that lost power was full: the end of that connection held up all others.
func TestEntryVMLeavesAControlVMThatTakesNoMoreBytes(t *testing.T) {
	first, second := listen(t), listen(t)
	members := []string{first.Addr().String(), second.Addr().String()}
	state := registry.New()
	gone := startHubWith(t, first, "a", zerolog.Nop(), state, members[1], members...)
	other := startHubWith(t, second, "b", zerolog.Nop(), state, members[1], members...)
	waitFor(t, 5*time.Second, "the first control VM knows the leader", func() (known bool) {
		gone.inspect(t, func(c *core) { known = c.leader != "" })
		return known
	})
	power := &powerSwitch{off: map[string]bool{}}
	pool := transport.NewPool(transport.PoolOptions{Dial: power.dial})
	link := NewLink(LinkOptions{
		VM: "entry-1", Zone: "a", Incarnation: 1, Seeds: members[:1], Pool: pool, Decode: decodeTestTable,
		UnresponsiveAfter: 5 * time.Second, ExpireAfter: 10 * time.Second, Logger: zerolog.Nop(), OnServerGone: func(string) {},
	})
	runLink(t, link, pool)
	waitFor(t, 20*time.Second, "attached in its zone, all control VMs known", func() bool {
		_, known := link.state.knownControlVMs()
		return link.attachedTo() == members[0] && len(known) == len(members)
	})
	gone.group.setMembers(gone.address) // it sends nothing to the other one, either
	power.turnOff(members[0])
	waitFor(t, applyTarget, "attached to the other control VM", func() bool { return link.attachedTo() == members[1] })
	require.NoError(t, other.PutTable(context.Background(), 5, []byte("12345")))
	waitFor(t, applyTarget/2, "version 5", func() bool { return version(link) == 5 })
}
