package hub

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/registry"
)

// setSuspended makes a link count as having just been suspended.
func (l *Link) setSuspended() {
	l.suspension.mu.Lock()
	defer l.suspension.mu.Unlock()
	l.suspension.wokeAt = time.Now()
}

// An entry VM that woke, or whose control VM was silent, refused by its older table what a newer one allows.
func TestFreshTableIsReadElsewhereWhileNoFrameShowsThatTheTableIsUpToDate(t *testing.T) {
	first, second := listen(t), listen(t)
	members := []string{first.Addr().String(), second.Addr().String()}
	silenced := newSilencer(first)
	state := registry.New()
	gone := startHubWith(t, silenced, "a", zerolog.Nop(), state, members[1], members...)
	other := startHubWith(t, second, "b", zerolog.Nop(), state, members[1], members...)
	link := startLinkIn(t, "entry-1", "a", 1, members[0])
	require.NoError(t, other.PutTable(context.Background(), 3, []byte("123")))
	waitFor(t, 20*time.Second, "attached in its zone, all control VMs known, version 3", func() bool {
		_, known := link.state.knownControlVMs()
		return link.attachedTo() == members[0] && len(known) == len(members) && version(link) == 3
	})
	fresh := func() (version uint64, took time.Duration) {
		start := time.Now()
		return link.FreshTable(t.Context()).Version, time.Since(start)
	}
	waitFor(t, time.Second, "a frame", func() bool { return link.isFed(time.Now()) })
	got, took := fresh()
	require.EqualValues(t, 3, got)
	require.Less(t, took, 10*time.Millisecond, "a frame shows that the table is up to date")

	gone.group.setMembers(gone.address) // it sends nothing to the other one, either
	silenced.setSilent()
	require.NoError(t, other.PutTable(context.Background(), 5, []byte("12345")))
	waitFor(t, applyTarget, "version 5 in force at the other control VM", func() bool {
		reply, err := other.tableInForce(t.Context(), 0)
		return err == nil && reply.GetTable().GetVersion() == 5
	})
	link.setSuspended()
	got, took = fresh()
	require.EqualValues(t, 5, got)
	require.Less(t, took, freshTableTimeout)
}

func TestFreshTableOfAnEntryVMThatIsCutOffIsTheOneThatItHas(t *testing.T) {
	listener := listen(t)
	silenced := newSilencer(listener)
	h := startHub(t, silenced, listener.Addr().String(), listener.Addr().String())
	link := startLinkIn(t, "entry-1", "a", 1, h.address)
	require.NoError(t, h.PutTable(context.Background(), 3, []byte("123")))
	waitFor(t, 5*time.Second, "version 3", func() bool { return version(link) == 3 })
	silenced.setSilent()
	waitFor(t, 5*time.Second, "detached", func() bool { return !link.isAttached() })
	start := time.Now()
	require.EqualValues(t, 3, link.FreshTable(t.Context()).Version)
	require.Less(t, time.Since(start), freshTableTimeout+100*time.Millisecond)
}
