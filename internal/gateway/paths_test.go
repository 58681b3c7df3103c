package gateway

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// brokenPaths are the Paths of a VM that reaches no server directly.
type brokenPaths struct{ soundPaths }

func (brokenPaths) IsBroken(string) bool { return true }

func failWithError(err AttemptError) func(*Attempt) (*Response, error) {
	return func(*Attempt) (*Response, error) { return nil, &err }
}

func TestFailedPathIsNotReportedAsAFailedServer(t *testing.T) {
	refused := AttemptError{Delivery: DeliveryNotSent, Unresponsive: true, Err: syscall.ECONNREFUSED}
	unreachable := AttemptError{Delivery: DeliveryNotSent, Err: errors.New("timeout")}
	reset := AttemptError{Delivery: DeliveryUnknown, Err: errReset}
	confirmed, relayed := unreachable, reset
	confirmed.Confirmed, relayed.Relayed = true, true
	for _, c := range []struct {
		name  string
		err   AttemptError
		paths Paths
		want  schedule.Outcome
	}{
		{"refused over a broken path", refused, brokenPaths{}, schedule.OutcomeUnused},
		{"unreachable over a broken path", unreachable, brokenPaths{}, schedule.OutcomeUnused},
		{"reset over a broken path", reset, brokenPaths{}, schedule.OutcomeUnused},
		{"another VM does not reach the server either", confirmed, brokenPaths{}, schedule.OutcomeUnreachable},
		{"reset of a relayed connection", relayed, nil, schedule.OutcomeUnused},
		{"refused over a sound path", refused, nil, schedule.OutcomeStalled},
		{"unreachable over a sound path", unreachable, nil, schedule.OutcomeUnreachable},
		{"reset over a sound path", reset, nil, schedule.OutcomeFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakes{responses: []func(*Attempt) (*Response, error){failWithError(c.err), failWithError(c.err), failWithError(c.err)}}
			serveOptions(Options{
				Table: tableOf(testTable()), Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Paths: c.paths,
				StopsIn: func() (time.Duration, bool) { return 0, false },
			}, "safe", "key", time.Second)
			require.NotEmpty(t, f.outcomes)
			require.Equal(t, c.want, f.outcomes[0])
		})
	}
}

func TestResetsOfACutOffVMQuarantineNoRequest(t *testing.T) {
	part := quarantine.Subject(7)
	for name, c := range map[string]struct {
		paths   Paths
		relayed bool
	}{"broken path": {paths: brokenPaths{}}, "relayed connection": {relayed: true}, "sound path": {}} {
		t.Run(name, func(t *testing.T) {
			evidence := quarantine.NewGuard()
			for n := range 4 {
				lost := func(attempt *Attempt) (*Response, error) {
					attempt.Server.StartedAt = time.Unix(int64(n), 0)
					return nil, &AttemptError{Delivery: DeliveryUnknown, Relayed: c.relayed, Err: fmt.Errorf("read: %w", syscall.ECONNRESET)}
				}
				f := &fakes{responses: []func(*Attempt) (*Response, error){lost}}
				serveOptions(Options{
					Table: tableOf(testTable()), Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Paths: c.paths, Evidence: evidence,
					StopsIn: func() (time.Duration, bool) { return 0, false },
				}, "stream", "key", time.Second, part)
			}
			crashed := 0
			evidence.Do(func(tracker *quarantine.Tracker) {
				request := quarantine.NewRequest("team", "", "h", "", nil)
				crashed = tracker.CrashedServers(time.Now(), request, []quarantine.Subject{part})
			})
			require.Equal(t, name == "sound path", crashed > 0, "%d crashes", crashed)
		})
	}
}

// checkedPaths records which paths are checked.
type checkedPaths struct {
	soundPaths
	checked chan string
}

func (checkedPaths) Probe(context.Context, string) serverstate.Presence {
	return serverstate.Presence{}
}
func (c checkedPaths) Check(_ context.Context, address string) bool {
	c.checked <- address
	return false
}

func TestPathToASilentServerIsChecked(t *testing.T) {
	paths := checkedPaths{checked: make(chan string, 4)}
	f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
		func(*Attempt) (*Response, error) {
			time.Sleep(minStallTimeout + 300*time.Millisecond)
			return respond(200, events, nil)(nil)
		},
		respond(200, events, nil),
	}}
	serveOptions(Options{
		Table: longTable, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Paths: paths,
		StopsIn: func() (time.Duration, bool) { return 0, false },
	}, "stream", "key", longTimeout)
	require.Equal(t, "s1", <-paths.checked)
}
