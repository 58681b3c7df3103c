// Package announce sends a stand-in's announcements to the entry VMs.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// defaultInterval is the heartbeat before an entry VM named one.
	defaultInterval = 500 * time.Millisecond
	// minInterval and maxInterval bound the heartbeat that is asked for.
	minInterval = 20 * time.Millisecond
	maxInterval = 10 * time.Second
	// sendTimeout bounds one announcement to one entry VM.
	sendTimeout = time.Second
	// seedRounds is the number of rounds between announcements to the seeds.
	seedRounds = 10
)

// Source builds the content of the next announcement. It is called once for
// each round.
type Source func(now time.Time) backendapi.Announcement

// Announcer sends announcements at each heartbeat to the entry VMs that it
// knows.
type Announcer struct {
	seeds  []string
	source Source
	muted  func() bool
	client *http.Client
	logger zerolog.Logger

	incarnation uint64
	sequence    uint64
	round       uint64
	targets     []string
	interval    time.Duration
	leave       chan struct{}
	leaveOnce   sync.Once
}

// New returns an announcer. Seeds are the "ip:port" announce addresses of
// entry VMs to begin with. While muted returns true nothing is sent.
func New(seeds []string, source Source, muted func() bool, logger zerolog.Logger) *Announcer {
	return &Announcer{
		seeds: seeds, source: source, muted: muted, logger: logger,
		client:      &http.Client{Timeout: sendTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		incarnation: uint64(time.Now().UnixNano()),
		interval:    defaultInterval,
		leave:       make(chan struct{}),
	}
}

// AnnounceDraining makes the announcer announce the state leaving from now on.
func (a *Announcer) AnnounceDraining() { a.leaveOnce.Do(func() { close(a.leave) }) }

// Incarnation returns the incarnation number of this start.
func (a *Announcer) Incarnation() uint64 { return a.incarnation }

// Run announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	leave := a.leave
	leaving := false
	for ctx.Err() == nil {
		if !a.muted() {
			a.announce(ctx, leaving)
		}
		select {
		case <-ctx.Done():
		case <-leave:
			leaving, leave = true, nil
		case <-time.After(a.interval):
		}
	}
}

type reply struct {
	entry string
	body  backendapi.AnnounceReply
	err   error
}

// announce sends one round to all targets side by side, so that one dead entry
// VM does not delay the others.
func (a *Announcer) announce(ctx context.Context, leaving bool) {
	a.sequence++
	announcement := a.source(time.Now())
	announcement.Incarnation = a.incarnation
	announcement.Sequence = a.sequence
	announcement.State = backendapi.StateServing
	if leaving {
		announcement.State = backendapi.StateDraining
	}
	body, err := json.Marshal(announcement)
	if err != nil {
		return
	}
	targets := a.nextTargets()
	replies := make(chan reply, len(targets))
	for _, entry := range targets {
		go func() { replies <- a.send(ctx, entry, body) }()
	}
	a.collect(targets, replies)
}

func (a *Announcer) nextTargets() []string {
	a.round++
	targets := slices.Clone(a.targets)
	if len(targets) == 0 || a.round%seedRounds == 0 {
		targets = append(targets, a.seeds...)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

func (a *Announcer) collect(targets []string, replies <-chan reply) {
	var next []string
	for range targets {
		got := <-replies
		if got.err != nil {
			observe.Log(a.logger, observe.StandinAnnounceFailed).Str("entry_vm", got.entry).Err(got.err).Send()
			continue
		}
		next = append(next, got.body.EntryVMs...)
		if asked := time.Duration(got.body.IntervalMillis) * time.Millisecond; asked > 0 {
			a.interval = min(max(asked, minInterval), maxInterval)
		}
	}
	slices.Sort(next)
	a.targets = slices.Compact(next)
}

func (a *Announcer) send(ctx context.Context, entry string, body []byte) reply {
	got := reply{entry: entry}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+backendapi.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		got.err = fmt.Errorf("announce: %w", err)
		return got
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		got.err = fmt.Errorf("announce: %w", err)
		return got
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		got.err = fmt.Errorf("announce: status %d", response.StatusCode)
		return got
	}
	if err := json.NewDecoder(response.Body).Decode(&got.body); err != nil {
		got.err = fmt.Errorf("announce: reply: %w", err)
	}
	return got
}
