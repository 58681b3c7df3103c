package hub

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/serverstate"
)

const (
	// broadcastInterval is the interval at which unchanged announcements are sent
	// to the other control VMs. Changes are sent at once.
	broadcastInterval = 200 * time.Millisecond
	// broadcastTimeout bounds one call to another control VM.
	broadcastTimeout = 900 * time.Millisecond
	// maxQueuedEvidence bounds the parts and requests with evidence that are queued for a
	// control VM that can't be reached.
	maxQueuedEvidence = 4096
)

// broadcaster sends announcements to the other control VMs, to each from a
// goroutine of its own. Of several queued announcements of one server, only the
// newest is sent.
type broadcaster struct {
	options *Options
	// peers holds the other control VMs by internal address.
	peers map[string]*broadcastPeer
	// urgent is set when a change is queued, until the next flush.
	urgent bool
	sentAt time.Time
	// entries lists the names of the entry VMs attached to this VM, as of sentAt.
	entries []string
	// relaysSentAt is when the relays of all attached entry VMs were last queued.
	relaysSentAt time.Time
	// onTableVersion is called, from any goroutine, with the version of the route table that a peer hands out if it is newer
	// than the one in force here, or while that is in doubt.
	onTableVersion func(peerTableVersion)
}

func newBroadcaster(options *Options, onTableVersion func(peerTableVersion)) *broadcaster {
	return &broadcaster{options: options, peers: map[string]*broadcastPeer{}, onTableVersion: onTableVersion}
}

// broadcastPeer holds what is queued for one other control VM.
type broadcastPeer struct {
	address string
	options *Options
	cancel  context.CancelFunc
	wake    chan struct{}
	// onTableVersion is that of the broadcaster.
	onTableVersion func(peerTableVersion)

	// mu guards the fields below it.
	mu sync.Mutex
	// servers holds the newest announcement of each server that is to be sent.
	servers map[string]roster.Server
	entries []string
	// due is set when the peer must be told that this VM is there, even if there is
	// nothing else to send, and knowsLeader whether it knows the leader.
	due, knowsLeader bool
	// tableVersion is the revision of the route table in force at this VM, tableInDoubt whether it may be outdated.
	tableVersion uint64
	tableInDoubt bool
	// relays holds the newest relay of each entry VM that is to be sent.
	relays map[string]Relay
	// evidence holds the newest evidence on each part and request that is to be sent.
	evidence map[quarantine.Subject]quarantine.Evidence
	// limits holds the newest limit of each backend server that is to be sent.
	limits map[string]serverstate.Limit
}

// setPeers starts and stops peers, so that they match the given addresses without
// the address of this VM. It tells whether it has started one, which has nothing
// queued yet.
func (b *broadcaster) setPeers(addresses []string) (started bool) {
	wanted := map[string]bool{}
	for _, address := range addresses {
		if address == b.options.Address {
			continue
		}
		wanted[address] = true
		if b.peers[address] == nil {
			b.peers[address] = startBroadcastPeer(b.options, address, b.onTableVersion)
			started = true
		}
	}
	for address, peer := range b.peers {
		if !wanted[address] {
			peer.cancel()
			delete(b.peers, address)
		}
	}
	return started
}

func startBroadcastPeer(options *Options, address string, onTableVersion func(peerTableVersion)) *broadcastPeer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &broadcastPeer{address: address, options: options, cancel: cancel, wake: make(chan struct{}, 1), onTableVersion: onTableVersion, servers: map[string]roster.Server{}, relays: map[string]Relay{}, evidence: map[quarantine.Subject]quarantine.Evidence{}, limits: map[string]serverstate.Limit{}}
	go p.run(ctx)
	return p
}

// add queues an announcement for all peers. An urgent announcement is sent with the
// next flush, any other with the next tick that sends.
func (b *broadcaster) add(server roster.Server, urgent bool) {
	b.urgent = b.urgent || urgent
	for _, peer := range b.peers {
		peer.mu.Lock()
		peer.servers[server.ID] = server
		peer.mu.Unlock()
	}
}

// addEvidence queues evidence on crashes for all peers; it is sent with the next flush.
func (b *broadcaster) addEvidence(evidence []quarantine.Evidence) {
	b.urgent = true
	for _, peer := range b.peers {
		peer.mu.Lock()
		for _, e := range evidence {
			peer.evidence[e.Subject] = e
		}
		peer.mu.Unlock()
	}
}

// addLimits queues limits of backend servers for all peers. Urgent ones are sent with the next flush, others with the next tick
// that sends.
func (b *broadcaster) addLimits(urgent bool, limits ...serverstate.Limit) {
	b.urgent = b.urgent || urgent
	for _, peer := range b.peers {
		peer.mu.Lock()
		for _, limit := range limits {
			peer.limits[limit.Server] = limit
		}
		peer.mu.Unlock()
	}
}

// addRelay queues the relay of an entry VM for all peers; it is sent with the next flush.
func (b *broadcaster) addRelay(relay Relay) {
	b.urgent = true
	b.queueRelay(relay)
}

func (b *broadcaster) queueRelay(relay Relay) {
	for _, peer := range b.peers {
		peer.mu.Lock()
		peer.relays[relay.VM] = relay
		peer.mu.Unlock()
	}
}

// tick sends the queued announcements, the names of the attached entry VMs and the version of the route table in force to
// all peers every broadcastInterval, with the relays of the entry VMs every refreshInterval.
func (b *broadcaster) tick(now time.Time, sessions map[*session]bool, knowsLeader bool, tableVersion uint64, tableInDoubt bool) {
	if now.Sub(b.sentAt) < broadcastInterval {
		return
	}
	b.sentAt = now
	b.entries = b.entries[:0]
	for s := range sessions {
		b.entries = append(b.entries, s.vm)
	}
	if now.Sub(b.relaysSentAt) >= refreshInterval {
		b.relaysSentAt = now
		for s := range sessions {
			if s.relay.Address != "" {
				b.queueRelay(s.relay)
			}
		}
	}
	for _, peer := range b.peers {
		peer.mu.Lock()
		peer.entries = append([]string(nil), b.entries...)
		peer.due, peer.knowsLeader, peer.tableVersion = true, knowsLeader, tableVersion
		peer.tableInDoubt = tableInDoubt
		peer.mu.Unlock()
		peer.notify()
	}
}

// flush sends the queued announcements at once if any of them is urgent.
func (b *broadcaster) flush() {
	if !b.urgent {
		return
	}
	b.urgent = false
	for _, peer := range b.peers {
		peer.notify()
	}
}

func (b *broadcaster) close() {
	for _, peer := range b.peers {
		peer.cancel()
	}
}

// notify makes the goroutine of the peer send what is queued for it.
func (p *broadcastPeer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run sends what is queued at each notification until ctx is done. It logs
// changes of the peer's reachability.
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
	servers, entries, relays, evidence, limits := p.servers, p.entries, p.relays, p.evidence, p.limits
	due, knowsLeader, tableVersion, tableInDoubt := p.due, p.knowsLeader, p.tableVersion, p.tableInDoubt
	p.due = false
	p.servers, p.entries, p.relays, p.evidence = map[string]roster.Server{}, nil, map[string]Relay{}, map[quarantine.Subject]quarantine.Evidence{}
	p.limits = map[string]serverstate.Limit{}
	p.mu.Unlock()
	if len(servers) == 0 && len(entries) == 0 && len(relays) == 0 && len(evidence) == 0 && len(limits) == 0 && !due {
		return nil
	}
	now := time.Now()
	request := &hubpb.SpreadRequest{EntryVms: entries, Sender: p.options.Address, SenderZone: p.options.Zone, Forwards: true, KnowsLeader: knowsLeader, TableVersion: tableVersion}
	for _, relay := range relays {
		request.Relays = append(request.Relays, relayToProto(relay))
	}
	request.Limits = limitsToProto(slices.Collect(maps.Values(limits)), now)
	request.Evidence = evidenceToProto(slices.Collect(maps.Values(evidence)), now)
	for _, server := range servers {
		request.Servers = append(request.Servers, serverToProto(server, now))
	}
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	conn, err := p.options.Pool.Conn(p.address)
	var reply *hubpb.SpreadReply
	if err == nil {
		reply, err = hubpb.NewHubClient(conn).Spread(ctx, request)
	}
	if err != nil {
		p.requeue(servers, evidence, limits)
		return err
	}
	if reply.GetTableVersion() > tableVersion || tableInDoubt {
		p.onTableVersion(peerTableVersion{address: p.address, version: reply.GetTableVersion(), askedAt: now})
	}
	return nil
}

// requeue queues announcements, limits and evidence again after a failed call, except for
// servers and subjects with newer ones in the queue. All relays are queued every
// refreshInterval anyway. Evidence beyond maxQueuedEvidence is
// dropped: that on what is quarantined is sent again every refreshInterval.
func (p *broadcastPeer) requeue(servers map[string]roster.Server, evidence map[quarantine.Subject]quarantine.Evidence, limits map[string]serverstate.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, limit := range limits {
		if _, newer := p.limits[id]; !newer {
			p.limits[id] = limit
		}
	}
	for id, server := range servers {
		if _, newer := p.servers[id]; !newer {
			p.servers[id] = server
		}
	}
	for part, e := range evidence {
		if _, newer := p.evidence[part]; !newer && len(p.evidence) < maxQueuedEvidence {
			p.evidence[part] = e
		}
	}
}
