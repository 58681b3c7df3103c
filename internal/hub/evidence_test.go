package hub

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
)

var harmfulParts = []quarantine.Subject{quarantine.NewPart("harmful")}

func recordCrash(link *Link, name string) {
	link.Evidence().Do(func(t *quarantine.Tracker) {
		t.RecordCrash(time.Now(), quarantine.NewServerRun(name, time.Time{}), quarantine.NewRequestID(name), harmfulParts)
	})
}

func requireQuarantine(t *testing.T, link *Link, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, found := link.Evidence().Quarantined(time.Now(), harmfulParts)
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
	s := &session{vm: "entry-1", outbox: make(chan *hubpb.HubFrame, outboxFrames), drop: func() {}}
	c.sessions[s] = true
	for _, name := range []string{"server 1", "server 2", "server 3"} {
		c.evidence.RecordCrash(now, quarantine.NewServerRun(name, time.Time{}), quarantine.NewRequestID(name), harmfulParts)
	}
	for round := range 3 {
		c.tick(now.Add(time.Duration(round) * refreshInterval))
		c.flush(now)
		require.NotEmpty(t, (<-s.outbox).GetEvidence(), "round %d", round)
	}
}
