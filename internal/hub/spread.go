package hub

import (
	"context"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
)

const (
	// spreadInterval is how often announcements without news go to the other
	// control VMs; news go at once.
	spreadInterval = 200 * time.Millisecond
	// spreadTimeout bounds one call to another control VM.
	spreadTimeout = 900 * time.Millisecond
)

// broadcaster brings announcements to the other control VMs. Each of them has a
// goroutine that sends the newest announcement of each server.
type broadcaster struct {
	options *Options
	peers   map[string]*broadcastPeer
	urgent  bool
	sentAt  time.Time
	entries []string
}

func newSpreader(options *Options) *broadcaster {
	return &broadcaster{options: options, peers: map[string]*broadcastPeer{}}
}

// broadcastPeer is one other control VM.
type broadcastPeer struct {
	address string
	options *Options
	cancel  context.CancelFunc
	wake    chan struct{}

	mu      sync.Mutex
	servers map[string]roster.Server
	entries []string
}

func (s *broadcaster) setPeers(addresses []string) {
	wanted := map[string]bool{}
	for _, address := range addresses {
		if address == s.options.Address {
			continue
		}
		wanted[address] = true
		if s.peers[address] == nil {
			s.peers[address] = startSpreadPeer(s.options, address)
		}
	}
	for address, peer := range s.peers {
		if !wanted[address] {
			peer.cancel()
			delete(s.peers, address)
		}
	}
}

func startSpreadPeer(options *Options, address string) *broadcastPeer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &broadcastPeer{address: address, options: options, cancel: cancel, wake: make(chan struct{}, 1), servers: map[string]roster.Server{}}
	go p.run(ctx)
	return p
}

// add queues an announcement for all peers.
func (s *broadcaster) add(server roster.Server, urgent bool) {
	s.urgent = s.urgent || urgent
	for _, peer := range s.peers {
		peer.mu.Lock()
		peer.servers[server.ID] = server
		peer.mu.Unlock()
	}
}

func (s *broadcaster) tick(now time.Time, sessions map[*session]bool) {
	if now.Sub(s.sentAt) < spreadInterval {
		return
	}
	s.sentAt = now
	s.entries = s.entries[:0]
	for one := range sessions {
		s.entries = append(s.entries, one.vm)
	}
	for _, peer := range s.peers {
		peer.mu.Lock()
		peer.entries = append([]string(nil), s.entries...)
		peer.mu.Unlock()
		peer.notify()
	}
}

func (s *broadcaster) flush() {
	if !s.urgent {
		return
	}
	s.urgent = false
	for _, peer := range s.peers {
		peer.notify()
	}
}

func (s *broadcaster) close() {
	for _, peer := range s.peers {
		peer.cancel()
	}
}

func (p *broadcastPeer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *broadcastPeer) run(ctx context.Context) {
	reachable := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		err := p.send(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			observe.Log(p.options.Logger, observe.SpreadPeerChanged).Str("address", p.address).Bool("reachable", reachable).Err(err).Send()
		}
	}
}

func (p *broadcastPeer) send(ctx context.Context) error {
	p.mu.Lock()
	servers, entries := p.servers, p.entries
	p.servers, p.entries = map[string]roster.Server{}, nil
	p.mu.Unlock()
	if len(servers) == 0 && len(entries) == 0 {
		return nil
	}
	now := time.Now()
	request := &hubpb.SpreadRequest{EntryVms: entries, Sender: p.options.Address}
	for _, server := range servers {
		request.Servers = append(request.Servers, serverToProto(server, now))
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	conn, err := p.options.Pool.Conn(p.address)
	if err == nil {
		_, err = hubpb.NewHubClient(conn).Spread(ctx, request)
	}
	if err != nil {
		p.putBack(servers)
	}
	return err
}

// putBack queues again what was not taken, unless newer news wait already.
func (p *broadcastPeer) putBack(servers map[string]roster.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, server := range servers {
		if _, newer := p.servers[id]; !newer {
			p.servers[id] = server
		}
	}
}
