package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/serverstate"
	"godwityoke.example/godwityoke/internal/tcp"
)

// cutDialer returns a dialer whose direct connections fail with directErr after delay, and that may ask the given peers.
func cutDialer(directErr error, delay time.Duration, peers ...Peer) *Dialer {
	d := NewDialer(DialerOptions{
		ConnectTimeout: time.Second, Peers: func() []Peer { return peers }, Probe: probeEcho, OnCutOff: func(bool) {}, Logger: zerolog.Nop(),
	})
	d.direct = func(ctx context.Context, _ string, _ time.Duration) (*net.TCPConn, error) {
		select {
		case <-time.After(delay):
			return nil, directErr
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return d
}

// probeEcho is a probe for backend servers that echo.
func probeEcho(_ context.Context, conn net.Conn, _ string) (time.Time, error) {
	if _, err := conn.Write([]byte("probe")); err != nil {
		return time.Time{}, err
	}
	_, err := io.ReadFull(conn, make([]byte, 5))
	return time.Time{}, err
}

// listen returns a listener on loopback that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// startRelay starts a Server that decides with admit.
func startRelay(t *testing.T, admit func(string, time.Duration) Decision) (*Server, Peer) {
	t.Helper()
	server := NewServer(ServerOptions{Connect: connect, Admit: admit, RecordStatement: func(string, serverstate.Statement) {}, Logger: zerolog.Nop()})
	listener := listen(t)
	go server.Serve(listener)
	t.Cleanup(server.Close)
	return server, Peer{VM: "peer", Address: listener.Addr().String()}
}

func connect(ctx context.Context, address string, unreachableAfter time.Duration) (*net.TCPConn, error) {
	return tcp.Dial(ctx, "", address, time.Second, unreachableAfter)
}

func allow(string, time.Duration) Decision { return Allowed }

// startBackend starts a backend server that handles each connection with handle.
func startBackend(t *testing.T, handle func(conn *net.TCPConn)) string {
	t.Helper()
	listener := listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// echo answers with all that it has read once five bytes have come.
func echo(conn *net.TCPConn) {
	var request [5]byte
	if _, err := io.ReadFull(conn, request[:]); err == nil {
		_, _ = conn.Write(request[:])
	}
}

func TestCutOffVMReachesServersThroughAPeer(t *testing.T) {
	for name, directErr := range map[string]error{"refused": syscall.ECONNREFUSED, "timeout": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			backend := startBackend(t, echo)
			_, peer := startRelay(t, allow)
			d := cutDialer(directErr, 20*time.Millisecond, peer)
			for range 3 {
				conn, err := d.Dial(context.Background(), backend, 3*time.Second)
				require.NoError(t, err)
				require.Equal(t, peer.Address, conn.(*Conn).RelayedBy())
				_, err = conn.Write([]byte("hello"))
				require.NoError(t, err)
				answer, err := io.ReadAll(conn)
				require.NoError(t, err)
				require.Equal(t, "hello", string(answer))
				require.NoError(t, conn.Close())
				require.True(t, d.IsBroken(backend))
			}
		})
	}
}

func TestPeerIsAskedBeforeADirectConnectionTimesOut(t *testing.T) {
	backend := startBackend(t, echo)
	_, peer := startRelay(t, allow)
	d := cutDialer(context.DeadlineExceeded, 10*time.Second, peer)
	began := time.Now()
	conn, err := d.Dial(context.Background(), backend, 0)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Less(t, time.Since(began), 5*time.Second)
}

func TestSoundPathUsesNoPeer(t *testing.T) {
	backend := startBackend(t, echo)
	var asked atomic.Int32
	_, peer := startRelay(t, func(string, time.Duration) Decision { asked.Add(1); return Allowed })
	d := NewDialer(DialerOptions{ConnectTimeout: time.Second, Peers: func() []Peer { return []Peer{peer} }, Logger: zerolog.Nop()})
	conn, err := d.Dial(context.Background(), backend, 0)
	require.NoError(t, err)
	require.IsType(t, &directConn{}, conn)
	require.NoError(t, conn.Close())
	require.Zero(t, asked.Load())
}

func TestServerThatNoVMReachesIsAtFault(t *testing.T) {
	closed := listen(t)
	require.NoError(t, closed.Close())
	_, peer := startRelay(t, allow)
	d := cutDialer(syscall.ECONNREFUSED, 0, peer)
	for range 3 {
		_, err := d.Dial(context.Background(), closed.Addr().String(), 0)
		require.ErrorIs(t, err, ErrServerUnreachable)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		require.False(t, d.IsBroken(closed.Addr().String()))
	}
}

func TestFailureIsNotConfirmedByAPeerThatDoesNotAnswer(t *testing.T) {
	silent := listen(t) // accepts in the kernel only
	d := cutDialer(syscall.ECONNREFUSED, 0, Peer{VM: "silent", Address: silent.Addr().String()})
	_, err := d.Dial(context.Background(), "127.0.0.1:1", 0)
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrServerUnreachable)
	other := Peer{VM: "other", Address: "127.0.0.1:2"}
	peers, _ := d.paths.Peers(time.Now(), "", "127.0.0.1:1", append(d.options.Peers(), other))
	require.Equal(t, []Peer{other}, peers, "the silent peer is in backoff")
}

func TestRelayRefuses(t *testing.T) {
	backend := startBackend(t, echo)
	for decision, want := range map[Decision]string{
		UnknownServer: errUnknownServer.Error(), Blocked: errBlocked.Error(), PathBroken: errPathBroken.Error(), Unavailable: errUnavailable.Error(),
	} {
		_, peer := startRelay(t, func(address string, _ time.Duration) Decision {
			require.Equal(t, backend, address)
			return decision
		})
		d := cutDialer(syscall.ECONNREFUSED, 0, peer)
		_, err := d.Dial(context.Background(), backend, 0)
		require.ErrorContains(t, err, want)
		require.NotErrorIs(t, err, ErrServerUnreachable)
	}
}

func TestRelayLearnsHowLongTheRequestMayLast(t *testing.T) {
	backend := startBackend(t, echo)
	limited, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	for ctx, want := range map[context.Context]time.Duration{context.Background(): 0, limited: time.Hour} {
		asked := make(chan time.Duration, 1)
		_, peer := startRelay(t, func(_ string, remaining time.Duration) Decision {
			asked <- remaining
			return Allowed
		})
		conn, err := cutDialer(syscall.ECONNREFUSED, 0, peer).Dial(ctx, backend, 0)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.InDelta(t, want, <-asked, float64(time.Minute))
	}
}

func TestSecondPeerIsAskedAfterTheFirstFailed(t *testing.T) {
	backend := startBackend(t, echo)
	_, stopping := startRelay(t, func(string, time.Duration) Decision { return Unavailable })
	_, sound := startRelay(t, allow)
	d := cutDialer(syscall.ECONNREFUSED, 0, stopping, sound)
	for range 10 {
		conn, err := d.Dial(context.Background(), backend, 0)
		require.NoError(t, err)
		require.Equal(t, sound.Address, conn.(*Conn).RelayedBy())
		require.NoError(t, conn.Close())
	}
}

func TestPathThatConnectsAndCarriesNoDataIsBroken(t *testing.T) {
	for name, hold := range map[string]func(conn *net.TCPConn){
		"holds":  func(*net.TCPConn) { time.Sleep(10 * time.Second) },
		"resets": func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			backend, held := startBackend(t, echo), startBackend(t, hold)
			_, peer := startRelay(t, allow)
			d := cutDialer(nil, 0, peer)
			d.direct = func(ctx context.Context, _ string, unreachableAfter time.Duration) (*net.TCPConn, error) {
				return connect(ctx, held, unreachableAfter)
			}
			d.Check(context.Background(), backend)
			require.True(t, d.IsBroken(backend))
			conn, err := d.Dial(context.Background(), backend, 0)
			require.NoError(t, err)
			require.Equal(t, peer.Address, conn.(*Conn).RelayedBy())
			require.NoError(t, conn.Close())
			d.probeBroken(context.Background())
			require.True(t, d.IsBroken(backend), "a connection alone proves nothing")
			d.direct = connect
			d.probeBroken(context.Background())
			require.False(t, d.IsBroken(backend))
		})
	}
}

func TestOneFailedConnectionShowsThatAllServersAreCutOff(t *testing.T) {
	_, peer := startRelay(t, allow)
	d := cutDialer(syscall.ECONNREFUSED, 0, peer)
	for range 4 {
		d.paths.Use(time.Now(), startBackend(t, echo))
	}
	conn, err := d.Dial(context.Background(), startBackend(t, echo), 0)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Eventually(t, d.IsCutOff, 5*time.Second, time.Millisecond)
}

func TestOnlyPeerThatReachesTheServerIsFound(t *testing.T) {
	backend := startBackend(t, echo)
	_, sound := startRelay(t, allow)
	peers := []Peer{sound}
	for range 6 {
		blind := NewServer(ServerOptions{
			Connect: func(context.Context, string, time.Duration) (*net.TCPConn, error) {
				return nil, context.DeadlineExceeded
			},
			Admit: allow, Logger: zerolog.Nop(),
		})
		listener := listen(t)
		go blind.Serve(listener)
		t.Cleanup(blind.Close)
		peers = append(peers, Peer{VM: "blind", Zone: "own", Address: listener.Addr().String()})
	}
	d := cutDialer(syscall.ECONNREFUSED, 0, peers...)
	d.options.Zone = "own"
	_, err := d.Dial(context.Background(), backend, 0)
	require.ErrorIs(t, err, ErrServerUnreachable)
	require.Eventually(t, func() bool { return d.IsBroken(backend) }, 5*time.Second, time.Millisecond)
	for range 3 {
		conn, err := d.Dial(context.Background(), backend, 0)
		require.NoError(t, err)
		require.Equal(t, sound.Address, conn.(*Conn).RelayedBy())
		require.NoError(t, conn.Close())
	}
}

func TestResetOfTheServerDoesNotLookLikeTheEndOfItsAnswer(t *testing.T) {
	backend := startBackend(t, func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte("half"))
		time.Sleep(50 * time.Millisecond)
		_ = conn.SetLinger(0)
	})
	_, peer := startRelay(t, allow)
	conn, err := cutDialer(syscall.ECONNREFUSED, 0, peer).Dial(context.Background(), backend, 0)
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.Equal(t, "half", string(answer))
	require.Error(t, err)
	require.NoError(t, conn.Close())
}

func TestClosedConnectionEndsTheRequestAtTheServer(t *testing.T) {
	ended := make(chan error, 1)
	backend := startBackend(t, func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte("first event"))
		_, err := io.ReadAll(conn)
		ended <- err
	})
	server, peer := startRelay(t, allow)
	conn, err := cutDialer(syscall.ECONNREFUSED, 0, peer).Dial(context.Background(), backend, 0)
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 5))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the server's connection is still open")
	}
	require.Eventually(t, func() bool { return server.Relayed() == 0 }, 5*time.Second, 5*time.Millisecond)
}

func TestRequestThatWasCancelledBeforeItWasReadIsNotPassedOn(t *testing.T) {
	got := make(chan int, 1)
	backend := startBackend(t, func(conn *net.TCPConn) {
		n, _ := io.Copy(io.Discard, conn)
		got <- int(n)
	})
	cancelled := make(chan struct{})
	server := NewServer(ServerOptions{
		Connect: func(ctx context.Context, address string, unreachableAfter time.Duration) (*net.TCPConn, error) {
			<-cancelled // as if this VM had been held up
			return connect(context.WithoutCancel(ctx), address, unreachableAfter)
		},
		Admit: allow, Logger: zerolog.Nop(),
	})
	listener := listen(t)
	go server.Serve(listener)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, writeRequest(conn, openRequest{Server: backend}))
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	time.Sleep(20 * time.Millisecond) // until the end of the connection has arrived
	close(cancelled)
	require.Zero(t, <-got)
}

func TestClosedRelayResetsItsConnections(t *testing.T) {
	backend := startBackend(t, func(conn *net.TCPConn) { _, _ = io.ReadAll(conn) })
	server, peer := startRelay(t, allow)
	conn, err := cutDialer(syscall.ECONNREFUSED, 0, peer).Dial(context.Background(), backend, 0)
	require.NoError(t, err)
	server.Close()
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.False(t, errors.Is(err, io.EOF), "an end of the data would make an answer without a length complete")
	require.NoError(t, conn.Close())
}

func TestStatementIsForwardedToTheRelayingVM(t *testing.T) {
	recorded := make(chan serverstate.Statement, 1)
	server := NewServer(ServerOptions{
		Admit:           func(string, time.Duration) Decision { return Unavailable },
		RecordStatement: func(_ string, statement serverstate.Statement) { recorded <- statement }, Logger: zerolog.Nop(),
	})
	listener := listen(t)
	go server.Serve(listener)
	defer server.Close()
	for sent, want := range map[serverstate.Statement]serverstate.Statement{
		{Backoff: 2 * time.Second}:            {Backoff: 2 * time.Second},
		{Draining: true}:                      {Draining: true},
		{Backoff: 3 * serverstate.MaxBackoff}: {Backoff: serverstate.MaxBackoff},
	} {
		require.NoError(t, cutDialer(nil, 0).ForwardStatement(context.Background(), listener.Addr().String(), "127.0.0.1:1", sent))
		require.Equal(t, want, <-recorded)
	}
}

func TestCancelledDialLeavesNoConnection(t *testing.T) {
	backend := startBackend(t, func(conn *net.TCPConn) { _, _ = io.ReadAll(conn) })
	server, peer := startRelay(t, allow)
	d := cutDialer(context.DeadlineExceeded, time.Minute, peer)
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), hedgeDelay+time.Millisecond)
		if conn, err := d.Dial(ctx, backend, 0); err == nil {
			_ = conn.Close()
		}
		cancel()
	}
	require.Eventually(t, func() bool { return server.Relayed() == 0 }, 5*time.Second, 5*time.Millisecond)
}

func FuzzReadRequest(f *testing.F) {
	f.Add([]byte(magic + "\x00\x02{}"))
	f.Add([]byte(magic + "\xff\xff{"))
	f.Fuzz(func(t *testing.T, message []byte) {
		conn, other := net.Pipe()
		go func() {
			_, _ = other.Write(message)
			_ = other.Close()
		}()
		request, err := readRequest(conn)
		_ = conn.Close()
		if err == nil && len(request.Server) > maxRequestBytes {
			t.Fatalf("server of %d bytes", len(request.Server))
		}
	})
}

// A server that ends breaks off all its requests at once. They must share one probe, and learn
// whether the server answers; a later check must not get an old result.
func TestChecksOfOneServerShareAProbe(t *testing.T) {
	var probes atomic.Int32
	backend := startBackend(t, echo)
	d := cutDialer(nil, 0)
	d.direct = func(ctx context.Context, _ string, unreachableAfter time.Duration) (*net.TCPConn, error) {
		probes.Add(1)
		time.Sleep(20 * time.Millisecond)
		return connect(ctx, backend, unreachableAfter)
	}
	var running sync.WaitGroup
	for range 20 {
		running.Go(func() { assert.True(t, d.Check(context.Background(), backend)) })
	}
	running.Wait()
	require.EqualValues(t, 1, probes.Load())
	time.Sleep(checkValidity)
	d.direct = func(context.Context, string, time.Duration) (*net.TCPConn, error) { return nil, syscall.ECONNREFUSED }
	require.False(t, d.Check(context.Background(), backend), "the server has ended since")
	d.forgetChecks(time.Now().Add(checkValidity))
	require.Empty(t, d.checks)
}

// A server resets its connection while the request is still written to it. The relay saw the reset in its write, took the
// end of the answer for a proper one, and passed it on as such.
func TestResetWhileTheRequestIsWrittenIsPassedOn(t *testing.T) {
	backend := startBackend(t, func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, 32<<10))
		_, _ = conn.Write([]byte("the begi"))
		_ = conn.SetLinger(0)
	})
	_, peer := startRelay(t, allow)
	d := cutDialer(syscall.ECONNREFUSED, 0, peer)
	for range 300 {
		conn, err := d.Dial(context.Background(), backend, 0)
		require.NoError(t, err)
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write(make([]byte, 512<<10))
			written <- err
		}()
		_, err = io.ReadAll(conn)
		require.Error(t, errors.Join(err, <-written), "an incomplete answer must not look complete") // one of both gets the reset
		require.NoError(t, conn.Close())
	}
}

func TestAnswerToAnEarlierProbeDoesNotShowThatAServerIsStillThere(t *testing.T) {
	backend := startBackend(t, echo)
	d := cutDialer(nil, 0)
	var hasEnded atomic.Bool
	d.direct = func(ctx context.Context, _ string, unreachableAfter time.Duration) (*net.TCPConn, error) {
		if hasEnded.Load() {
			return nil, syscall.ECONNREFUSED
		}
		return connect(ctx, backend, unreachableAfter)
	}
	t.Run("the probe is over", func(t *testing.T) {
		require.True(t, d.Check(context.Background(), backend))
		hasEnded.Store(true)
		require.False(t, d.Check(context.Background(), backend))
	})
	t.Run("the probe is in progress", func(t *testing.T) {
		hasEnded.Store(false)
		d.forgetChecks(time.Now().Add(checkValidity))
		hasAnswered, proceed := make(chan struct{}), make(chan struct{})
		d.options.Probe = func(ctx context.Context, conn net.Conn, address string) (time.Time, error) {
			startedAt, err := probeEcho(ctx, conn, address)
			close(hasAnswered)
			<-proceed
			return startedAt, err
		}
		earlier, later := make(chan bool, 1), make(chan bool, 1)
		go func() { earlier <- d.Check(context.Background(), backend) }()
		<-hasAnswered
		hasEnded.Store(true)
		go func() { later <- d.Check(context.Background(), backend) }()
		time.Sleep(20 * time.Millisecond) // until the second check waits
		close(proceed)
		require.True(t, <-earlier)
		require.False(t, <-later)
	})
}

// relayProcessEnv is set in a process of this test binary that only relays connections.
const relayProcessEnv = "RELAY_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(relayProcessEnv) == "" {
		os.Exit(m.Run())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	NewServer(ServerOptions{Connect: connect, Admit: allow, Logger: zerolog.Nop()}).Serve(listener)
}

// startRelayProcess starts a relay in a process of its own.
func startRelayProcess(t *testing.T) (*os.Process, Peer) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), relayProcessEnv+"=1")
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	require.NoError(t, err)
	return command.Process, Peer{VM: "peer", Address: strings.TrimSpace(address)}
}

func TestAnswerOfAKilledRelayDoesNotLookComplete(t *testing.T) {
	const begun = "first event"
	backend := startBackend(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, begun)
		_, _ = io.ReadAll(conn)
	})
	process, peer := startRelayProcess(t)
	conn, err := cutDialer(syscall.ECONNREFUSED, 0, peer).Dial(context.Background(), backend, 0)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.ReadFull(conn, make([]byte, len(begun)))
	require.NoError(t, err)
	require.NoError(t, process.Kill())
	rest, err := io.ReadAll(conn)
	require.ErrorIs(t, err, syscall.ECONNRESET, "read %q", rest)
}

func TestEndOfALongAnswerIsPassedOnToASlowReader(t *testing.T) {
	const size = 8 << 20
	backend := startBackend(t, func(conn *net.TCPConn) { _, _ = conn.Write(make([]byte, size)) })
	server, peer := startRelay(t, allow)
	conn, err := cutDialer(syscall.ECONNREFUSED, 0, peer).Dial(context.Background(), backend, 0)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	time.Sleep(50 * time.Millisecond) // the end has reached the relay before the reader
	read, err := io.Copy(io.Discard, conn)
	require.NoError(t, err)
	require.EqualValues(t, size, read)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return server.Relayed() == 0 }, 5*time.Second, 5*time.Millisecond)
}
