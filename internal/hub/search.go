package hub

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// askInterval is how long the control VMs asked so far may take to answer before more are asked. It covers the
	// connection setup and a round trip between availability zones.
	askInterval = 100 * time.Millisecond
	// askTimeout is how long the control VMs asked last may take to answer.
	askTimeout = 400 * time.Millisecond
	// unansweredAfter is the time without an answer after which the connection to a control VM is given up at the end of a search:
	// less than askTimeout, which ends the search for those asked last.
	unansweredAfter = askTimeout - askInterval
)

var (
	errNoAnswer = errors.New("no answer to the question which control VM leads")
	errRefused  = errors.New("the connection was refused")
)

// askFunc asks the control VM at an address which one leads. leader is empty if it knows none.
type askFunc func(ctx context.Context, address string) (leader string, err error)

// askOutcome is the outcome of a search among control VMs.
type askOutcome struct {
	// found is the first control VM that knows the leader, otherwise the first one that answered, empty if none did.
	found string
	// leaderKnown is set if that one knows the leader.
	leaderKnown bool
	// failed holds the errors of the control VMs that could not be asked or did not answer, by address.
	failed map[string]error
}

// askInTurn looks for a control VM that knows the leader. It asks the first one, and then further ones at the same time: after
// each askInterval twice as many as before. So the time of a search hardly grows with the number of addresses that don't answer.
// The search ends early when maxWithoutLeader control VMs have answered that they know no leader; 0 stands for no limit.
func askInTurn(ctx context.Context, addresses []string, maxWithoutLeader int, ask askFunc) askOutcome {
	type answer struct {
		address, leader string
		err             error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcome := askOutcome{failed: map[string]error{}}
	answers := make(chan answer, len(addresses))
	askedAt := map[string]time.Time{}
	group, withoutLeader := 1, 0
	timer := time.NewTimer(askInterval)
	defer timer.Stop()
	askMore := func() {
		for _, address := range addresses[:min(group, len(addresses))] {
			askedAt[address] = time.Now()
			go func() {
				leader, err := ask(ctx, address)
				answers <- answer{address: address, leader: leader, err: err}
			}()
		}
		addresses = addresses[min(group, len(addresses)):]
		group *= 2
		timer.Reset(askInterval)
		if len(addresses) == 0 {
			timer.Reset(askTimeout)
		}
	}
	askMore()
	for len(askedAt) > 0 {
		select {
		case a := <-answers:
			delete(askedAt, a.address)
			switch {
			case a.err != nil:
				outcome.failed[a.address] = a.err
			case a.leader != "":
				outcome.found, outcome.leaderKnown = a.address, true
				outcome.addUnanswered(askedAt)
				return outcome
			default:
				outcome.found = cmp.Or(outcome.found, a.address)
				withoutLeader++
			}
			if withoutLeader == maxWithoutLeader && maxWithoutLeader > 0 {
				outcome.addUnanswered(askedAt)
				return outcome
			}
			if len(askedAt) == 0 && len(addresses) > 0 {
				askMore()
			}
		case <-timer.C:
			if len(addresses) == 0 {
				outcome.addUnanswered(askedAt)
				return outcome
			}
			askMore()
		case <-ctx.Done():
			outcome.addUnanswered(askedAt)
			return outcome
		}
	}
	return outcome
}

// addUnanswered adds the control VMs that were asked at least askInterval ago to the failed ones.
func (o *askOutcome) addUnanswered(askedAt map[string]time.Time) {
	for address, at := range askedAt {
		if time.Since(at) >= askInterval {
			o.failed[address] = errNoAnswer
		}
	}
}

// findControlVM returns the control VM to attach to, or an empty address and the mean delay before the next search.
func (l *Link) findControlVM(ctx context.Context, pace *attachPace) (address string, delay time.Duration) {
	startedAt := time.Now()
	waits, maxWithoutLeader := pace.awaitsLeader(startedAt, l.Table() != nil), 0
	if waits {
		maxWithoutLeader = leaderSearchPeers
	}
	outcome := askInTurn(ctx, l.candidates(startedAt), maxWithoutLeader, l.askForLeader)
	refused := l.recordFailures(outcome, startedAt, pace.isEarly(startedAt))
	switch {
	case outcome.found == "":
		return "", pace.afterFailure(time.Now(), refused)
	case waits && !outcome.leaderKnown:
		return "", pace.afterLeaderless(time.Now())
	}
	return outcome.found, 0
}

// recordFailures starts the backoffs of the control VMs that failed in a search and logs them. It reports whether one of them
// refused the connection. Early on these are only counted: they may be starting, and are tried again soon.
func (l *Link) recordFailures(outcome askOutcome, startedAt time.Time, early bool) (refused bool) {
	for address, err := range outcome.failed {
		if errors.Is(err, errRefused) {
			refused = true
			if early {
				l.failedAttempts.Add(1)
				continue
			}
		}
		l.backoffs.add(address, time.Now())
		l.logFailedAttempt(address, startedAt, err)
	}
	return refused
}

func (l *Link) logFailedAttempt(address string, startedAt time.Time, err error) {
	l.failedAttempts.Add(1)
	observe.Log(l.options.Logger, observe.AttachFailed).Str("control_vm", address).Dur("after", time.Since(startedAt)).Err(err).Send()
}

// candidates returns the addresses of all known control VMs in the order in which they are tried: the leader if it is to be
// followed, the others that a control VM has reported, the seeds, which may be gone for good, and then those in backoff. Ties
// are broken at random.
func (l *Link) candidates(now time.Time) []string {
	leader, controlVMs := l.state.knownControlVMs()
	all := append(slices.Clone(controlVMs), l.options.Seeds...)
	slices.Sort(all)
	all = slices.Compact(all)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	rank := func(address string) int {
		switch {
		case l.backoffs.isActive(address, now):
			return 3
		case address == leader:
			return 0
		case slices.Contains(controlVMs, address):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), l.backoffs.compare(a, b, now))
	})
	return all
}

// askForLeader implements askFunc. The error for a refused connection wraps errRefused.
func (l *Link) askForLeader(ctx context.Context, address string) (leader string, err error) {
	leader, err = askForLeader(ctx, l.options.Pool, address)
	if err != nil && l.isRefused(address) {
		return "", fmt.Errorf("%w: %w", errRefused, err)
	}
	return leader, err
}

// isRefused reports whether the connection to the control VM at address was refused. It then discards the connection, so that
// the next call connects at once, while gRPC would wait.
func (l *Link) isRefused(address string) bool {
	if !l.options.Pool.IsRefused(address) {
		return false
	}
	if conn, err := l.options.Pool.Conn(address); err == nil {
		l.options.Pool.Discard(address, conn)
	}
	return true
}

// askForLeader asks the control VM at address which one leads. One of an earlier version counts as knowing itself.
func askForLeader(ctx context.Context, pool *transport.Pool, address string) (leader string, err error) {
	conn, err := pool.Conn(address)
	if err != nil {
		return "", err
	}
	startedAt := time.Now()
	reply, err := hubpb.NewHubClient(conn).FindLeader(ctx, &hubpb.FindLeaderRequest{})
	if err == nil {
		return reply.GetLeader(), nil
	}
	if status.Code(err) == codes.Unimplemented {
		return address, nil
	}
	if ctx.Err() != nil && time.Since(startedAt) >= unansweredAfter {
		pool.Discard(address, conn) // the connection may be broken without an error from TCP
	}
	return "", err
}
