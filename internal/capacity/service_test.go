package capacity

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

const (
	testGroup   = "model"
	testTimeout = 20 * time.Millisecond
)

// fakeEngine holds the memory of an attempt until free or Cancel is called for it.
type fakeEngine struct {
	mu   sync.Mutex
	held map[string]int64
}

func (e *fakeEngine) start(attempt string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[attempt] = tokens
}

func (e *fakeEngine) free(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, attempt)
}

func (e *fakeEngine) List(context.Context, Engine) ([]HeldAttempt, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []HeldAttempt
	for attempt, tokens := range e.held {
		list = append(list, HeldAttempt{Attempt: attempt, Tokens: tokens})
	}
	return list, nil
}

func (e *fakeEngine) Cancel(_ context.Context, _ Engine, attempts []string) ([]string, error) {
	for _, attempt := range attempts {
		e.free(attempt)
	}
	return attempts, nil
}

// testVM is an entry VM with its Service and Holder.
type testVM struct {
	service *Service
	holder  *Holder
	stop    context.CancelFunc
	grpc    *grpc.Server
}

// testZone runs the entry VMs of one zone, connected by in-memory listeners.
type testZone struct {
	t         *testing.T
	engine    *fakeEngine
	names     []string
	listeners map[string]*bufconn.Listener
	vms       map[string]*testVM
	mu        sync.Mutex
	// partitioned holds the VMs whose calls get no response.
	partitioned map[string]bool
}

func newTestZone(t *testing.T) *testZone {
	z := &testZone{
		t: t, engine: &fakeEngine{held: map[string]int64{}}, names: []string{"a", "b", "c"},
		listeners: map[string]*bufconn.Listener{}, vms: map[string]*testVM{}, partitioned: map[string]bool{},
	}
	for _, name := range z.names {
		z.listeners[name] = bufconn.Listen(1 << 20)
	}
	for _, name := range z.names {
		z.vms[name] = z.startVM(name)
	}
	time.Sleep(4 * term)
	return z
}

func (z *testZone) startVM(name string) *testVM {
	service := NewService(ServiceOptions{
		VM: name, Zone: z.names, Engines: z.engine, Clock: time.Now,
		Config: func() Config { return DefaultConfig(term, 20, time.Minute) },
		Live: func(time.Time) []Engine {
			return []Engine{{Server: "e1", Incarnation: 1, Memory: 1000, Group: testGroup}}
		},
	})
	peers := slices.DeleteFunc(slices.Clone(z.names), func(peer string) bool { return peer == name })
	holder := NewHolder(HolderOptions{VM: name, Peers: peers, Service: service, Timeout: testTimeout, LeaseTerm: term, Clock: time.Now, Dial: z.dial(name)})
	server := grpc.NewServer()
	service.Register(server)
	go func() { _ = server.Serve(z.listeners[name]) }()
	ctx, cancel := context.WithCancel(context.Background())
	go service.Run(ctx)
	go holder.Run(ctx)
	return &testVM{service: service, holder: holder, stop: cancel, grpc: server}
}

func (z *testZone) dial(from string) func(string) (capacitypb.CapacityClient, error) {
	var mu sync.Mutex
	clients := map[string]capacitypb.CapacityClient{}
	return func(to string) (capacitypb.CapacityClient, error) {
		mu.Lock()
		defer mu.Unlock()
		if client, found := clients[to]; found {
			return client, nil
		}
		conn, err := grpc.NewClient("passthrough:///"+to, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return z.listeners[to].Dial() }),
			grpc.WithUnaryInterceptor(func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoker grpc.UnaryInvoker, options ...grpc.CallOption) error {
				if z.dropsCalls(from, to) {
					<-ctx.Done()
					return ctx.Err()
				}
				return invoker(ctx, method, request, reply, conn, options...)
			}),
			grpc.WithStreamInterceptor(func(ctx context.Context, description *grpc.StreamDesc, conn *grpc.ClientConn, method string, streamer grpc.Streamer, options ...grpc.CallOption) (grpc.ClientStream, error) {
				if z.dropsCalls(from, to) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return streamer(ctx, description, conn, method, options...)
			}))
		require.NoError(z.t, err)
		clients[to] = capacitypb.NewCapacityClient(conn)
		z.t.Cleanup(func() { _ = conn.Close() })
		return clients[to], nil
	}
}

func (z *testZone) dropsCalls(from, to string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.partitioned[from] || z.partitioned[to]
}

func (z *testZone) partition(name string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.partitioned[name] = true
}

func (z *testZone) close() {
	for _, vm := range z.vms {
		vm.stop()
		vm.grpc.Stop()
	}
}

// roles returns the scheduler of the engine and another VM.
func (z *testZone) roles() (scheduler, other string) {
	scheduler = Scheduler(testGroup, z.names)
	return scheduler, z.names[(slices.Index(z.names, scheduler)+1)%len(z.names)]
}

func (z *testZone) acquire(vm, attempt string, tokens int64) (*Lease, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request := Request{Attempt: attempt, Holder: vm, Tokens: tokens, Short: true, LatestStart: time.Now().Add(8 * time.Second), Deadline: time.Now().Add(20 * time.Second)}
	return z.vms[vm].holder.Acquire(ctx, testGroup, request, []Choice{{Server: "e1", PrefillTokens: tokens}})
}

func (z *testZone) usage(vm string) Usage {
	synctest.Wait()
	time.Sleep(term)
	return z.vms[vm].service.Usage()["e1"]
}

func inZone(t *testing.T, run func(t *testing.T, z *testZone)) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(t)
		run(t, z)
		z.close()
	})
}

func TestQueuedRequestIsGrantedWhenAnotherVMReleasesItsLease(t *testing.T) {
	inZone(t, func(t *testing.T, z *testZone) {
		scheduler, other := z.roles()
		first, err := z.acquire(other, "t1", 800)
		require.NoError(t, err)
		z.engine.start("t1", 800)
		go func() {
			time.Sleep(6 * term / 4)
			z.engine.free("t1")
			first.Release(false)
		}()
		began := time.Now()
		second, err := z.acquire(scheduler, "t2", 800)
		require.NoError(t, err)
		assert.Equal(t, 6*term/4, time.Since(began), "granted as soon as the first lease is released")
		second.Release(false)
		usage := z.usage(scheduler)
		assert.Zero(t, usage.Leased())
		assert.Zero(t, usage.Leases)
	})
}

func TestRequestNotGrantedInTimeLeavesNoLease(t *testing.T) {
	inZone(t, func(t *testing.T, z *testZone) {
		scheduler, other := z.roles()
		first, err := z.acquire(scheduler, "t1", 800)
		require.NoError(t, err)
		_, err = z.acquire(other, "t2", 800)
		require.Error(t, err, "the first lease is not released in time")
		first.Release(false)
		usage := z.usage(scheduler)
		assert.Zero(t, usage.Leased())
		assert.Zero(t, usage.Queued)
	})
}

// TestGrantToADisconnectedCallerIsReleased cancels the caller's context at the moment of the
// grant. The lease must not be left behind, whichever event is noticed first.
func TestGrantToADisconnectedCallerIsReleased(t *testing.T) {
	inZone(t, func(t *testing.T, z *testZone) {
		scheduler, other := z.roles()
		first, err := z.acquire(other, "t1", 800)
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(term)
			first.Release(false)
			cancel()
		}()
		request := Request{Attempt: "t2", Holder: other, Tokens: 800, LatestStart: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Hour)}
		if lease, err := z.vms[other].holder.Acquire(ctx, testGroup, request, []Choice{{Server: "e1"}}); err == nil {
			lease.Release(false)
		}
		assert.Zero(t, z.usage(scheduler).Leases, "the lease must not be held until it expires")
	})
}

// TestUnresponsiveSchedulerIsReplaced partitions the scheduler without closing its
// connections. The holder must fall back after its timeout, and the next scheduler must
// count the running attempt.
func TestUnresponsiveSchedulerIsReplaced(t *testing.T) {
	inZone(t, func(t *testing.T, z *testZone) {
		scheduler, other := z.roles()
		running, err := z.acquire(other, "t1", 400)
		require.NoError(t, err)
		z.engine.start("t1", 400)

		z.partition(scheduler)
		began := time.Now()
		_, err = z.acquire(other, "t2", 100)
		require.ErrorIs(t, err, ErrNoScheduler)
		assert.Equal(t, testTimeout, time.Since(began), "the caller falls back after the timeout")

		time.Sleep(6 * term)
		remaining := slices.DeleteFunc(slices.Clone(z.names), func(name string) bool { return name == scheduler })
		next := Scheduler(testGroup, remaining)
		usage := z.usage(next)
		assert.Equal(t, int64(666), usage.Limit, "the shares of the two VMs that reach each other")
		assert.Equal(t, int64(400), usage.Leased(), "the next scheduler has a lease for the running attempt")
		assert.Zero(t, usage.Unleased)
		z.engine.free("t1")
		running.Release(false)
		assert.Zero(t, z.usage(next).Leased())
	})
}

func TestLeaseOfAnUnresponsiveHolderIsKeptUntilItsDeadline(t *testing.T) {
	inZone(t, func(t *testing.T, z *testZone) {
		scheduler, other := z.roles()
		_, err := z.acquire(other, "t1", 800)
		require.NoError(t, err)
		z.engine.start("t1", 800)
		z.partition(other)
		time.Sleep(4 * term)
		assert.Equal(t, int64(800), z.usage(scheduler).Leased(), "kept, because the holder may be partitioned")
		time.Sleep(20 * time.Second)
		assert.Zero(t, z.usage(scheduler).Leased(), "cancelled after the deadline")
		assert.Empty(t, z.engine.held)
	})
}
