package hub

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// linkSilence is the silence after which an entry VM tries another control
	// VM: three frames that did not come.
	linkSilence = 1300 * time.Millisecond
	// linkPulse is the longest time between two frames to a control VM.
	linkPulse = time.Second
	// linkRetry is the pause between two attempts to attach.
	linkRetry = 100 * time.Millisecond
	// firstFrameWait is how long the first frame may take: a connection, a
	// passage there and back, and a busy control VM.
	firstFrameWait = 500 * time.Millisecond
	// firstAvoid and longestAvoid bound how long a control VM that could not be
	// reached is not tried.
	firstAvoid   = time.Second
	longestAvoid = 8 * time.Second
	// leaderPatience is how long an entry VM stays with a control VM that does
	// not lead before it turns to the leader: long enough to get all news, and
	// to bound the turns while control VMs disagree about the leader.
	leaderPatience = 300 * time.Millisecond
	// isolatedPatience is how long an entry VM stays with a control VM that knows
	// no leader: a little longer than an election takes. longestIsolated bounds
	// it from above while no other is found.
	isolatedPatience = 900 * time.Millisecond
	longestIsolated  = 4 * time.Second
	// suspectAfter is the silence after an ask that makes an entry VM place
	// requests itself: ten times the way to another zone and back.
	suspectAfter = 110 * time.Millisecond
	// uncountedEntryVMs is taken for the number of entry VMs before any control VM
	// has counted them; a large number divides too much rather than too little.
	uncountedEntryVMs = 100
	// countMemory is how long the largest count of entry VMs holds: longer than
	// the window in which repeats are counted, so that VMs that are gone may have
	// spent their parts.
	countMemory = 12 * time.Second
	// linkInbox bounds the messages that wait for the link's goroutine.
	linkInbox = 2048
)

var (
	errLinkSilent  = errors.New("no frame came")
	errIsolated    = errors.New("the control VM knows no leader")
	errOtherLeader = errors.New("another control VM leads")
)

// LinkOptions are what a Link works with.
type LinkOptions struct {
	VM          string
	Zone        string
	Incarnation uint64
	// Seeds are the internal addresses that are tried first.
	Seeds  []string
	Pool   *transport.Pool
	Decode func(content []byte) (*routes.Table, error)
	// UnresponsiveAfter and ExpireAfter are as for a Hub.
	UnresponsiveAfter time.Duration
	ExpireAfter       time.Duration
	Logger            zerolog.Logger
	// OnServerGone is told of addresses whose server is gone.
	OnServerGone func(address string)
}

// Link is the entry VM's side: it holds the newest route table and the servers,
// and has requests placed by the scheduler, or places them itself while no
// scheduler is in reach. Its methods are safe for concurrent use.
type Link struct {
	options LinkOptions
	inbox   chan linkMessage
	done    chan struct{}
	// failures are the control VMs that could not be reached lately.
	failures *failures

	mu       sync.RWMutex
	table    *routes.Table
	servers  *roster.Roster
	entryVMs int
	attached bool

	state linkState
}

// NewLink returns a link; Run makes it work.
func NewLink(options LinkOptions) *Link {
	l := &Link{
		options: options, inbox: make(chan linkMessage, linkInbox), done: make(chan struct{}),
		servers: roster.New(), entryVMs: uncountedEntryVMs, failures: newFailures(),
	}
	l.state = newLinkState(l)
	return l
}

// Table returns the route table in force, nil before the first.
func (l *Link) Table() *routes.Table {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.table
}

// Find returns the server with id.
func (l *Link) Find(id string) (roster.Server, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.servers.Find(id)
}

// EntryVMCount returns how many entry VMs share the bounds of the whole system.
func (l *Link) EntryVMCount() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.entryVMs
}

// IsReady tells whether this VM knows routes and servers.
func (l *Link) IsReady() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.table != nil
}

// Place implements gateway.Placer.
func (l *Link) Place(ctx context.Context, ask schedule.PlacementRequest) (schedule.Placement, error) {
	reply := make(chan schedule.Placement, 1)
	if err := l.send(ctx, placementRequested{ask: ask, reply: reply}); err != nil {
		return schedule.Placement{}, err
	}
	select {
	case placement := <-reply:
		return placement, nil
	case <-ctx.Done():
		_ = l.send(context.WithoutCancel(ctx), requestFinished{id: ask.ID, end: schedule.OutcomeDone})
		return schedule.Placement{}, ctx.Err()
	}
}

// Started implements gateway.Placer.
func (l *Link) Started(id schedule.JobID) {
	_ = l.send(context.Background(), requestStarted{id: id})
}

// Ended implements gateway.Placer.
func (l *Link) Ended(id schedule.JobID, end schedule.Outcome) {
	_ = l.send(context.Background(), requestFinished{id: id, end: end})
}

func (l *Link) send(ctx context.Context, m linkMessage) error {
	select {
	case l.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return context.Canceled
	}
}

// Run keeps the link attached until ctx ends.
func (l *Link) Run(ctx context.Context) {
	go l.attachLoop(ctx)
	l.state.run(ctx)
}

// attachLoop attaches to one control VM after the other.
func (l *Link) attachLoop(ctx context.Context) {
	failures := l.failures
	for ctx.Err() == nil {
		address := l.nextAddress(failures, time.Now())
		up, err := l.attach(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if up {
			observe.Log(l.options.Logger, observe.LinkLost).Str("control_vm", address).Err(err).Send()
			failures.clear(address)
		}
		if errors.Is(err, errOtherLeader) {
			continue
		}
		failures.add(address, time.Now())
		select {
		case <-time.After(linkRetry):
		case <-ctx.Done():
		}
	}
}

func (l *Link) isAttached() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.attached
}

// nextAddress prefers the leader, then the control VMs that failed least: one
// that was not tried yet goes before one whose pause is over.
func (l *Link) nextAddress(failures *failures, now time.Time) string {
	leader, control := l.state.knownControl()
	if leader != "" && !failures.avoided(leader, now) {
		return leader
	}
	all := append(slices.Clone(control), l.options.Seeds...)
	slices.Sort(all)
	all = slices.Compact(all)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return slices.MinFunc(all, func(a, b string) int {
		if order := cmp.Compare(failures.pause(a), failures.pause(b)); order != 0 {
			return order
		}
		return failures.avoidedUntil(a).Compare(failures.avoidedUntil(b))
	})
}

// attach runs one stream to its end and tells whether it ever was up.
func (l *Link) attach(ctx context.Context, address string) (up bool, err error) {
	conn, err := l.options.Pool.Conn(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(firstFrameWait, func() { cancel(errLinkSilent) })
	defer silence.Stop()
	stream, err := hubpb.NewHubClient(conn).Attach(ctx)
	if err != nil {
		return false, l.abandon(address, conn, ctx, err)
	}
	outbox := make(chan *hubpb.EntryFrame, outboxFrames)
	if err := l.send(ctx, linkAttached{address: address, outbox: outbox, cancel: cancel}); err != nil {
		return false, err
	}
	defer func() { _ = l.send(context.WithoutCancel(ctx), linkDetached{outbox: outbox}) }()
	go l.sendFrames(ctx, cancel, stream, outbox)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return up, l.abandon(address, conn, ctx, err)
		}
		up = true
		silence.Reset(linkSilence)
		if err := l.send(ctx, hubFrameReceived{address: address, outbox: outbox, frame: frame}); err != nil {
			return up, l.abandon(address, conn, ctx, err)
		}
	}
}

// abandon closes a connection that went silent and returns the cause.
func (l *Link) abandon(address string, conn *grpc.ClientConn, ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errLinkSilent) {
		l.options.Pool.Abandon(address, conn)
	}
	if cause != nil {
		return cause
	}
	return err
}

func (l *Link) sendFrames(ctx context.Context, cancel context.CancelCauseFunc, stream grpc.BidiStreamingClient[hubpb.EntryFrame, hubpb.HubFrame], outbox <-chan *hubpb.EntryFrame) {
	for {
		select {
		case frame := <-outbox:
			if err := stream.Send(frame); err != nil {
				cancel(err)
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// takeTable puts a newer route table in force.
func (l *Link) takeTable(message *hubpb.RouteTable) {
	current := l.Table()
	if message == nil || current != nil && message.GetVersion() <= current.Version {
		return
	}
	content, err := bundle.Decompress(message.GetContent(), nil)
	var table *routes.Table
	if err == nil {
		table, err = l.options.Decode(content)
	}
	if err != nil {
		observe.Log(l.options.Logger, observe.RoutesUnreadable).Uint64("version", message.GetVersion()).Err(err).Send()
		return
	}
	l.mu.Lock()
	l.table = table
	l.mu.Unlock()
	l.state.local.SetEngines(table)
	observe.Log(l.options.Logger, observe.RoutesApplied).Uint64("version", table.Version).Int("routes", len(table.Routes)).Send()
}
