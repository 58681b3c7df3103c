package hub

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// linkTimeout is the time without a frame after which an entry VM attaches to
	// another control VM. Three frames are due in this time (see viewInterval).
	linkTimeout = 1300 * time.Millisecond
	// linkHeartbeatInterval is the maximum time between two frames to a control VM.
	linkHeartbeatInterval = time.Second
	// attachRetryDelay is the mean delay before the next attempt to attach after a failed
	// one. It doubles with each further attempt that fails, up to maxAttachRetryDelay.
	// An attempt that is not answered takes firstFrameTimeout itself. See also attachPace.
	attachRetryDelay    = 100 * time.Millisecond
	maxAttachRetryDelay = 800 * time.Millisecond
	// moveDelay is the mean delay before the link attaches to the control VM to which
	// another one has sent it, or to the leader.
	moveDelay = 10 * time.Millisecond
	// firstFrameTimeout is the timeout of the first frame. It covers the connection
	// setup, a round trip and the response time of a busy control VM.
	firstFrameTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff of a control VM after a failed
	// attempt to attach or a lost stream.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// leaderSwitchDelay is how long an entry VM stays attached to a control VM that
	// does not lead before it switches to the leader. In this time it receives the
	// route table and the servers. The delay also limits the rate of switches while
	// control VMs disagree about the leader.
	leaderSwitchDelay = 300 * time.Millisecond
	// schedulerTimeout is how long an entry VM waits for a frame from the control
	// VM after a placement request before it places requests itself. It is ten
	// times the round trip between availability zones.
	schedulerTimeout = 110 * time.Millisecond
	// defaultEntryVMs is the assumed number of entry VMs until a control VM reports
	// one. A number that is too large makes the share of each VM smaller, so that
	// the limits of the system are not exceeded.
	defaultEntryVMs = 100
	// entryCountWindow is how long the largest number of entry VMs stays in use.
	// It is longer than the window of the retry budget, because VMs that are gone
	// may have used their shares within it.
	entryCountWindow = 12 * time.Second
	// linkInboxSize is the capacity of the link's inbox, in messages.
	linkInboxSize = 2048
)

var (
	errLinkTimeout = errors.New("no frame from the control VM within the timeout")
	errOtherLeader = errors.New("another control VM leads")
)

// LinkOptions configure a Link.
type LinkOptions struct {
	VM          string
	Zone        string
	Incarnation uint64
	// RelayAddress is the "ip:port" at which this VM relays connections of other entry
	// VMs, empty if it relays none.
	RelayAddress string
	// Seeds are the internal addresses of the control VMs that the link tries
	// first. It later tries them in addition to those that a control VM reports.
	Seeds []string
	Pool  *transport.Pool
	// Decode parses the document of a route table.
	Decode func(content []byte) (*routes.Table, error)
	// UnresponsiveAfter is not used by the link: the scheduler of the control group
	// handles unresponsive servers.
	UnresponsiveAfter time.Duration
	// ExpireAfter is the time without an announcement after which a server is
	// removed.
	ExpireAfter time.Duration
	// WarmUpBounds bound the requests to servers in their warm-up.
	WarmUpBounds schedule.WarmUpBounds
	Logger       zerolog.Logger
	// OnServerGone is called with the address of a server that is gone. It must not
	// block or call the link.
	OnServerGone func(address string)
}

// Link is the entry VM's side of the package. It holds the newest route table and
// the known servers. It has requests placed by the leader's scheduler, or places
// them itself while the leader's scheduler is unreachable or unresponsive. Its
// methods are safe for concurrent use.
type Link struct {
	options  LinkOptions
	inbox    chan linkMessage
	done     chan struct{}
	evidence *quarantine.Guard
	// statements are what backend servers stated in their answers to this VM.
	statements *serverstate.Table
	// backoffs are the control VMs in backoff.
	backoffs *backoffs
	// tableKnown is closed when the first route table is in force.
	tableKnown chan struct{}
	// cutOff is the last argument of SetCutOff.
	cutOff atomic.Bool
	// limitsKnown is the number of servers whose limit, or its end, is known.
	limitsKnown atomic.Int64
	// failedAttempts counts the attempts to attach that failed since the last successful one.
	failedAttempts atomic.Int64
	// lastFrameAt is when the last frame arrived, in Unix nanoseconds, or when the link was made.
	lastFrameAt atomic.Int64
	suspension  suspensionClock

	// mu guards the fields below it, except state.
	mu    sync.RWMutex
	table *routes.Table
	// tableSince is when table was put in force.
	tableSince time.Time
	// evacuations came with the last route table. They change without table, too.
	evacuations evacuations
	servers     *roster.Roster
	entryVMs    int
	attached    bool
	// control is the internal address of the attached control VM.
	control string
	relays  []Relay

	state linkState
}

// NewLink returns a link. It does nothing until Run is called.
func NewLink(options LinkOptions) *Link {
	l := &Link{
		options: options, inbox: make(chan linkMessage, linkInboxSize), done: make(chan struct{}),
		servers: roster.New(), entryVMs: defaultEntryVMs, backoffs: newBackoffs(), tableKnown: make(chan struct{}),
		evidence: quarantine.NewGuard(), statements: serverstate.NewTable(),
	}
	l.state = newLinkState(l)
	l.lastFrameAt.Store(time.Now().UnixNano())
	return l
}

// Table returns the route table in force, nil before the first one is received.
func (l *Link) Table() *routes.Table {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.table
}

// TableKnown returns a channel that is closed when the first route table is in force.
func (l *Link) TableKnown() <-chan struct{} { return l.tableKnown }

// WasSuspended reports whether this process did not run for a while since the given time, or only just runs again.
func (l *Link) WasSuspended(since time.Time) bool {
	return l.suspension.wasSuspended(since, time.Now())
}

// TableSource tells where the route table in force comes from.
type TableSource struct {
	// ControlVM is the internal address of the attached control VM, empty while the link is detached.
	ControlVM string
	// Age is the time for which the table has been in force, Silent the time since the last frame of a control VM.
	Age, Silent time.Duration
}

// TableSource returns where the route table in force comes from.
func (l *Link) TableSource() TableSource {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return TableSource{
		ControlVM: l.control, Age: time.Since(l.tableSince), Silent: time.Since(time.Unix(0, l.lastFrameAt.Load())),
	}
}

// tableVersion returns the version of the route table in force, 0 before the first
// one.
func (l *Link) tableVersion() uint64 {
	if table := l.Table(); table != nil {
		return table.Version
	}
	return 0
}

// tableRevision returns the revision of the route table in force (see the function of this
// name).
func (l *Link) tableRevision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	revision := l.evacuations.revision
	if l.table != nil {
		revision += l.table.Version
	}
	return revision
}

// Find returns the server with id and whether it is known.
func (l *Link) Find(id string) (roster.Server, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.servers.Find(id)
}

// FindAddress returns the server at the address "ip:port" and whether one is known there that is not gone.
func (l *Link) FindAddress(address string) (roster.Server, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.servers.FindAddress(address)
}

// ReadyServers returns the servers of a service that accept requests by their
// announcements, whether they have been unresponsive since or not.
func (l *Link) ReadyServers(service string) []roster.Server {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.servers.Ready(service)
}

// Statements returns what backend servers stated in their answers to this VM.
func (l *Link) Statements() *serverstate.Table { return l.statements }

// RecordStatement records what a backend server stated in an answer to this VM. The
// other VMs are told when the server is draining.
func (l *Link) RecordStatement(server roster.Server, statement serverstate.Statement) {
	now := time.Now()
	l.recordLimit(server, statement, now)
	change := l.statements.Record(now, server, statement)
	if change.Draining {
		observe.Log(l.options.Logger, observe.ServerStatedDraining).Str("server", server.ID).Str("service", server.Service).
			Str("address", server.Address).Send()
		_ = l.send(context.Background(), serverStatedDraining{server: server})
	}
	if change.Backoff {
		observe.Log(l.options.Logger, observe.ServerStatedBackoff).Str("server", server.ID).Str("service", server.Service).
			Str("address", server.Address).Dur("backoff", statement.Backoff).Send()
	}
}

// EntryVMCount returns the number of entry VMs that share the limits of the whole
// system.
func (l *Link) EntryVMCount() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.entryVMs
}

// Relays returns the entry VMs through which this VM may reach backend servers, in the
// order in which it should try them. They are the last that a control VM reported, also
// while the link is detached. The caller must not change the result.
func (l *Link) Relays() []Relay {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.relays
}

// SetCutOff records whether this VM reaches (almost) no backend server. The other entry
// VMs learn of changes through the control VMs.
func (l *Link) SetCutOff(cutOff bool) {
	if l.cutOff.Swap(cutOff) != cutOff {
		_ = l.send(context.Background(), cutOffChanged{})
	}
}

// IsReady reports whether the link has a route table.
func (l *Link) IsReady() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.table != nil
}

// Evidence returns this VM's evidence on parts of prompts that crash backend servers. The
// link exchanges it with the other VMs.
func (l *Link) Evidence() *quarantine.Guard { return l.evidence }

// Place implements gateway.Placer. It waits until the request is placed or
// refused, and returns the error of ctx if that is done first.
func (l *Link) Place(ctx context.Context, request schedule.PlacementRequest) (schedule.Placement, error) {
	reply := make(chan schedule.Placement, 1)
	if err := l.send(ctx, placementRequested{request: request, reply: reply}); err != nil {
		return schedule.Placement{}, err
	}
	select {
	case placement := <-reply:
		return placement, nil
	case <-ctx.Done():
		_ = l.send(context.WithoutCancel(ctx), requestFinished{id: request.ID, outcome: schedule.OutcomeUnused})
		return schedule.Placement{}, ctx.Err()
	}
}

// Started implements gateway.Placer.
func (l *Link) Started(id schedule.JobID) {
	_ = l.send(context.Background(), requestStarted{id: id})
}

// Ended implements gateway.Placer.
func (l *Link) Ended(id schedule.JobID, outcome schedule.Outcome) {
	_ = l.send(context.Background(), requestFinished{id: id, outcome: outcome})
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

// Run handles messages and keeps the link attached until ctx is done.
func (l *Link) Run(ctx context.Context) {
	go l.attachLoop(ctx)
	l.state.run(ctx)
}

// redirectError is the end of a stream after which the link attaches to address.
type redirectError struct {
	address string
	// isolated is set if the control VM of the stream knows no leader, and the one at address does.
	isolated bool
}

func (e *redirectError) Error() string {
	if e.isolated {
		return "the control VM knows no leader, but control VM " + e.address + " does"
	}
	return "sent to control VM " + e.address
}

// attachLoop attaches to one control VM after another until ctx is done. No attempt
// follows another one without a random delay, so that many entry VMs don't come together.
func (l *Link) attachLoop(ctx context.Context) {
	backoffs := l.backoffs
	pace := newAttachPace(time.Now())
	redirect := ""
	for ctx.Err() == nil {
		address, redirected := redirect, redirect != ""
		if !redirected {
			var delay time.Duration
			if address, delay = l.findControlVM(ctx, pace); address == "" {
				pause.For(ctx, jittered(delay))
				continue
			}
		}
		startedAt := time.Now()
		up, err := l.attach(ctx, address, redirected)
		if ctx.Err() != nil {
			return
		}
		if up {
			observe.Log(l.options.Logger, observe.LinkLost).Str("control_vm", address).Err(err).Send()
			backoffs.clear(address)
			pace = newAttachPace(time.Now())
		}
		var toOther *redirectError
		redirect = ""
		delay := moveDelay
		switch {
		case errors.As(err, &toOther):
			redirect = toOther.address
			switch {
			case toOther.isolated:
				backoffs.add(address, time.Now())
			case backoffs.isActive(toOther.address, time.Now()):
				redirect = address // the control VM reaches the preferred one, this VM doesn't
			}
		case errors.Is(err, errOtherLeader):
		default:
			refused := !up && l.isRefused(address)
			if !up {
				l.logFailedAttempt(address, startedAt, err)
			}
			if !refused || !pace.isEarly(time.Now()) {
				backoffs.add(address, time.Now())
			}
			if time.Since(startedAt) >= firstFrameTimeout {
				pace.resetDelay()
			}
			delay = pace.afterFailure(time.Now(), refused)
		}
		pause.For(ctx, jittered(delay))
	}
}

func (l *Link) isAttached() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.attached
}

// attachedTo returns the internal address of the control VM of the current stream, empty
// while the link is detached.
func (l *Link) attachedTo() string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.control
}

// attach runs one stream to its end and reports whether it was ever up, that is,
// whether a frame arrived. err is the cause of the end.
// redirected tells whether a control VM has sent this VM to address.
func (l *Link) attach(ctx context.Context, address string, redirected bool) (up bool, err error) {
	conn, err := l.options.Pool.Conn(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(firstFrameTimeout, func() { cancel(errLinkTimeout) })
	defer idleTimer.Stop()
	stream, err := hubpb.NewHubClient(conn).Attach(ctx)
	if err != nil {
		return false, l.closeIfUnresponsive(address, conn, ctx, err)
	}
	outbox := make(chan *hubpb.EntryFrame, outboxFrames)
	if err := l.send(ctx, linkAttached{address: address, outbox: outbox, cancel: cancel, redirected: redirected}); err != nil {
		return false, err
	}
	defer func() { _ = l.send(context.WithoutCancel(ctx), linkDetached{outbox: outbox}) }()
	go l.sendFrames(ctx, cancel, stream, outbox)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return up, l.closeIfUnresponsive(address, conn, ctx, err)
		}
		if to := frame.GetRedirect(); to != "" {
			return up, &redirectError{address: to}
		}
		up = true
		idleTimer.Reset(linkTimeout)
		if err := l.send(ctx, hubFrameReceived{address: address, outbox: outbox, frame: frame}); err != nil {
			return up, l.closeIfUnresponsive(address, conn, ctx, err)
		}
	}
}

// closeIfUnresponsive returns the cause of a stream's end: the cause of ctx if
// that is done, otherwise err. It closes the connection if the stream ended
// because no frame came in time.
func (l *Link) closeIfUnresponsive(address string, conn *grpc.ClientConn, ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errLinkTimeout) {
		l.options.Pool.Discard(address, conn)
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

// applyTable puts a route table of the control VM at address from in force if it is newer than the current
// one. It logs a table that can't be decoded and keeps the current one.
func (l *Link) applyTable(message *hubpb.RouteTable, from string) {
	if tableRevision(message) <= l.tableRevision() || message.GetVersion() != l.tableVersion() && !l.applyRoutes(message, from) {
		return
	}
	l.applyEvacuations(message, from)
}

// applyRoutes puts the document of a route table in force, unless it can't be decoded.
func (l *Link) applyRoutes(message *hubpb.RouteTable, from string) bool {
	current := l.Table()
	content, err := bundle.Decompress(message.GetContent(), nil)
	var table *routes.Table
	if err == nil {
		table, err = l.options.Decode(content)
	}
	if err != nil {
		observe.Log(l.options.Logger, observe.RoutesUnreadable).Uint64("version", message.GetVersion()).Err(err).Send()
		return false
	}
	l.mu.Lock()
	l.table, l.tableSince = table, time.Now()
	l.servers.SetServices(serviceNames(table))
	l.mu.Unlock()
	l.state.local.SetEngines(time.Now(), table)
	previous := uint64(0)
	if current == nil {
		close(l.tableKnown)
	} else {
		previous = current.Version
	}
	withTable(observe.Log(l.options.Logger, observe.RoutesApplied), message).Int("routes", len(table.Routes)).
		Uint64("previous", previous).Str("control_vm", from).Uint64("term", l.state.knownTerm()).Send()
	return true
}
