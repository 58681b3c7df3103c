// Package announce sends the announcements of a stand-in to the entry VMs. It announces to the seeds
// first, and then to the entry VMs that the replies list, at the heartbeat interval that they set.
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
	// defaultInterval is the heartbeat interval until a reply sets one.
	defaultInterval = 500 * time.Millisecond
	// minInterval and maxInterval limit the heartbeat interval that a reply can set.
	minInterval = 20 * time.Millisecond
	maxInterval = 10 * time.Second
	// sendTimeout is the timeout of one announcement to one entry VM.
	sendTimeout = time.Second
	// seedRounds is the number of announcements between two that also go to the seeds, so that seeds
	// that no reply lists receive announcements, too.
	seedRounds = 10
)

// Source returns the content of the next announcement. It is called once per heartbeat. The
// announcer sets the incarnation, the sequence number and the state.
type Source func(now time.Time) backendapi.Announcement

// Announcer sends an announcement to the known entry VMs at each heartbeat.
type Announcer struct {
	seeds   []string
	source  Source
	isMuted func() bool
	client  *http.Client
	logger  zerolog.Logger

	incarnation uint64
	sequence    uint64
	// round counts the calls of nextTargets.
	round uint64
	// targets lists the entry VMs that the latest replies listed.
	targets  []string
	interval time.Duration
	// draining is closed by AnnounceDraining.
	draining  chan struct{}
	drainOnce sync.Once
}

// New returns an announcer. Seeds are the "ip:port" announce addresses of the entry VMs to
// announce to at first. Nothing is sent while isMuted returns true.
func New(seeds []string, source Source, isMuted func() bool, logger zerolog.Logger) *Announcer {
	return &Announcer{
		seeds: seeds, source: source, isMuted: isMuted, logger: logger,
		client:      &http.Client{Timeout: sendTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		incarnation: uint64(time.Now().UnixNano()),
		interval:    defaultInterval,
		draining:    make(chan struct{}),
	}
}

// AnnounceDraining makes the announcer send the state draining from now on, the first time at
// once.
func (a *Announcer) AnnounceDraining() { a.drainOnce.Do(func() { close(a.draining) }) }

// Incarnation returns the incarnation of the server, the time of New in Unix nanoseconds.
func (a *Announcer) Incarnation() uint64 { return a.incarnation }

// Run sends announcements until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	draining := a.draining
	isDraining := false
	for ctx.Err() == nil {
		if !a.isMuted() {
			a.announce(ctx, isDraining)
		}
		select {
		case <-ctx.Done():
		case <-draining:
			isDraining, draining = true, nil // receive from the closed channel only once
		case <-time.After(a.interval):
		}
	}
}

// reply is the reply of one entry VM, or the error of the announcement to it.
type reply struct {
	entryVM string
	body    backendapi.AnnounceReply
	err     error
}

// announce sends one announcement to all targets concurrently, so that an unresponsive entry VM
// does not delay the announcement to the others. It returns when all have replied or failed.
func (a *Announcer) announce(ctx context.Context, isDraining bool) {
	a.sequence++
	announcement := a.source(time.Now())
	announcement.Incarnation = a.incarnation
	announcement.Sequence = a.sequence
	announcement.State = backendapi.StateServing
	if isDraining {
		announcement.State = backendapi.StateDraining
	}
	body, err := json.Marshal(announcement)
	if err != nil {
		return
	}
	targets := a.nextTargets()
	replies := make(chan reply, len(targets))
	for _, entryVM := range targets {
		go func() { replies <- a.send(ctx, entryVM, body) }()
	}
	a.collect(targets, replies)
}

// nextTargets returns the entry VMs that the latest replies listed. It adds the seeds if the replies
// listed none, and on every seedRounds-th call.
func (a *Announcer) nextTargets() []string {
	a.round++
	targets := slices.Clone(a.targets)
	if len(targets) == 0 || a.round%seedRounds == 0 {
		targets = append(targets, a.seeds...)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// collect receives one reply for each target. It sets the next targets and the heartbeat interval from
// the replies, and logs the failed announcements.
func (a *Announcer) collect(targets []string, replies <-chan reply) {
	var next []string
	for range targets {
		result := <-replies
		if result.err != nil {
			observe.Log(a.logger, observe.StandinAnnounceFailed).Str("entry_vm", result.entryVM).Err(result.err).Send()
			continue
		}
		next = append(next, result.body.EntryVMs...)
		if requested := time.Duration(result.body.IntervalMillis) * time.Millisecond; requested > 0 {
			a.interval = min(max(requested, minInterval), maxInterval)
		}
	}
	slices.Sort(next)
	a.targets = slices.Compact(next)
}

func (a *Announcer) send(ctx context.Context, entryVM string, body []byte) reply {
	result := reply{entryVM: entryVM}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entryVM+backendapi.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		result.err = fmt.Errorf("announce: %w", err)
		return result
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		result.err = fmt.Errorf("announce: %w", err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		result.err = fmt.Errorf("announce: status %d", response.StatusCode)
		return result
	}
	if err := json.NewDecoder(response.Body).Decode(&result.body); err != nil {
		result.err = fmt.Errorf("announce: reply: %w", err)
	}
	return result
}
