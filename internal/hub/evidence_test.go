package hub

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
)

var harmfulParts = []quarantine.Subject{quarantine.NewPart("harmful")}

func requestTo(target string) *quarantine.Request {
	return quarantine.NewRequest("team", "POST", "host", target, nil)
}

func recordCrash(link *Link, name string) {
	link.Evidence().Do(func(t *quarantine.Tracker) {
		t.RecordCrash(time.Now(), quarantine.NewServerRun(name, time.Time{}), requestTo(name), harmfulParts)
	})
}

func requireQuarantine(t *testing.T, link *Link, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, found := link.Evidence().Quarantined(time.Now(), requestTo("other"), harmfulParts)
		return found
	}, within, 10*time.Millisecond)
}

// Each entry VM sees one crash, at different control VMs. All must know the quarantine, also those that attach later, to
// a control VM that has restarted.
func TestQuarantineReachesAllEntryVMsAndSurvivesRestarts(t *testing.T) {
	first, second, restarted := listen(t), listen(t), listen(t)
	members := []string{first.Addr().String(), second.Addr().String(), restarted.Addr().String()}
	startHub(t, first, members[0], members...)
	startHub(t, second, members[1], members...)
	links := []*Link{startLinkOf(t, "entry-1", 1, members[0]), startLinkOf(t, "entry-2", 2, members[1])}
	for _, link := range links {
		require.Eventually(t, link.isAttached, 5*time.Second, 10*time.Millisecond)
	}
	recordCrash(links[0], "server 1")
	recordCrash(links[1], "server 2")
	recordCrash(links[0], "server 3")
	for _, link := range links {
		requireQuarantine(t, link, time.Second)
	}
	requireQuarantine(t, startLinkOf(t, "entry-3", 3, members[0]), time.Second)
	startHub(t, restarted, members[2], members...)
	requireQuarantine(t, startLinkOf(t, "entry-4", 4, members[2]), 2*refreshInterval)
}

// An entry VM that was detached brings its evidence when it attaches.
func TestDetachedEntryVMReportsItsEvidenceWhenItAttaches(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	detached := startLinkOf(t, "entry-1", 1, address)
	for _, name := range []string{"server 1", "server 2", "server 3"} {
		recordCrash(detached, name)
	}
	requireQuarantine(t, detached, time.Second)
	startHub(t, listener, address, address)
	requireQuarantine(t, startLinkOf(t, "entry-2", 2, address), 5*time.Second)
}

// A VM that has lost what it was sent gets the quarantined parts again.
func TestQuarantinedPartsAreSentAgain(t *testing.T) {
	now := time.Now()
	c := newCore(&Options{Group: func() Group { return nil }, Logger: zerolog.Nop(), Metrics: observe.NewMetrics()})
	s := &session{vm: "entry-1", outbox: make(chan *hubpb.HubFrame, outboxFrames), drop: func(error) {}}
	c.sessions[s] = true
	for _, name := range []string{"server 1", "server 2", "server 3"} {
		c.evidence.RecordCrash(now, quarantine.NewServerRun(name, time.Time{}), requestTo(name), harmfulParts)
	}
	for round := range 3 {
		c.tick(now.Add(time.Duration(round) * refreshInterval))
		c.flush(now)
		require.NotEmpty(t, (<-s.outbox).GetEvidence(), "round %d", round)
	}
}

func TestControlVMThatIsKnownLaterGetsTheEvidence(t *testing.T) {
	now, group := time.Now(), Group(nil)
	c := newCore(&Options{Address: "self", Group: func() Group { return group }, Logger: zerolog.Nop(), Metrics: observe.NewMetrics()})
	c.evidence.RecordCrash(now, quarantine.NewServerRun("server 1", time.Time{}), requestTo("/harmful"), harmfulParts)
	c.spreadEvidence(c.evidence.TakeChanges(), now)
	group = &fakeGroup{self: "self", members: []string{"self", "other"}}
	c.updateLeadership(now)
	t.Cleanup(func() { c.peers.setPeers(nil) })
	peer := c.peers.peers["other"]
	require.NotNil(t, peer)
	peer.mu.Lock()
	defer peer.mu.Unlock()
	require.Len(t, peer.evidence, 2, "the request and the part")
}

// Each crash is seen by another entry VM, and the control VM changes between the second and the third.
func TestQuarantineOfARequestReachesAllEntryVMsAcrossAChangeOfTheControlVM(t *testing.T) {
	first, second := listen(t), listen(t)
	members := []string{first.Addr().String(), second.Addr().String()}
	startHub(t, first, members[0], members...)
	links := []*Link{startLinkOf(t, "entry-1", 1, members[0]), startLinkOf(t, "entry-2", 2, members[0])}
	for _, link := range links {
		require.Eventually(t, link.isAttached, 5*time.Second, 10*time.Millisecond)
	}
	crash := func(link *Link, server string) {
		link.Evidence().Do(func(t *quarantine.Tracker) {
			t.RecordCrash(time.Now(), quarantine.NewServerRun(server, time.Time{}), requestTo("/harmful"), nil)
		})
	}
	crash(links[0], "server 1")
	crash(links[1], "server 2")
	startHub(t, second, members[0], members...)
	links = append(links, startLinkOf(t, "entry-3", 3, members[1]))
	require.Eventually(t, links[2].isAttached, 5*time.Second, 10*time.Millisecond)
	crash(links[2], "server 3")
	for _, link := range links {
		require.Eventually(t, func() bool {
			_, found := link.Evidence().Quarantined(time.Now(), requestTo("/harmful"), nil)
			return found
		}, 2*refreshInterval, 10*time.Millisecond)
		_, found := link.Evidence().Quarantined(time.Now(), requestTo("/other"), nil)
		require.False(t, found)
	}
}

func TestEvidenceOnRequestsAndPartsIsTheSameAfterTheWire(t *testing.T) {
	now := time.Now()
	sender, receiver := quarantine.NewTracker(), quarantine.NewTracker()
	for _, name := range []string{"server 1", "server 2", "server 3"} {
		sender.RecordCrash(now, quarantine.NewServerRun(name, time.Time{}), requestTo("/harmful"), harmfulParts)
	}
	receiver.Merge(now, evidenceFromProto(evidenceToProto(sender.All(), now), now))
	require.Equal(t, sender.All(), receiver.All())
	_, found := receiver.Quarantined(now, requestTo("/harmful"), nil)
	require.True(t, found)
}

// Connections of one entry VM are reset on the way to three servers under one request that it sends again. The servers go
// on announcing themselves under the same start, so that none of them has crashed, and another VM must send the request.
func TestResetsOnTheWayQuarantineNoRequest(t *testing.T) {
	listener := listen(t)
	h := startHub(t, listener, listener.Addr().String(), listener.Addr().String())
	links := []*Link{startLinkOf(t, "entry-1", 1, h.address), startLinkOf(t, "entry-2", 2, h.address)}
	for _, link := range links {
		require.Eventually(t, link.isAttached, 5*time.Second, 10*time.Millisecond)
	}
	startedAt := time.Now().Add(-time.Minute)
	announce := func(sequence uint64) {
		for i := range 3 {
			require.NoError(t, h.Announce(context.Background(), roster.Server{
				ID: fmt.Sprintf("s%d", i), Service: "plain", Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Zone: "a", Slots: 2,
				State: roster.StateReady, StartedAt: startedAt, Sequence: sequence, LastSeen: time.Now(),
			}))
		}
	}
	announce(1)
	request := func() *quarantine.Request { return requestTo("again") }
	for i := range 3 {
		links[0].Evidence().Do(func(tracker *quarantine.Tracker) {
			tracker.RecordCrash(time.Now(), quarantine.NewServerRun(fmt.Sprintf("s%d", i), startedAt), request(), nil)
		})
		time.Sleep(600 * time.Millisecond)
	}
	for sequence := range uint64(8) {
		announce(2 + sequence)
		time.Sleep(250 * time.Millisecond)
	}
	_, found := links[1].Evidence().Quarantined(time.Now(), request(), nil)
	require.False(t, found, "no server has crashed under the request")
}
