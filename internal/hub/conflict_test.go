package hub

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
)

// A malformed heartbeat from another sender took a live server out of use, whichever VM passed
// it on.
func TestServerOfAnUnnamedServiceDisplacesNoLiveOne(t *testing.T) {
	state := registry.New()
	content, err := bundle.Compress([]byte("{}"), nil)
	require.NoError(t, err)
	command, err := registry.Encode(&registrypb.Command{Kind: &registrypb.Command_PutRoutes{PutRoutes: &registrypb.PutRoutes{
		Table: &registrypb.RouteTable{Version: 7, Content: content},
	}}})
	require.NoError(t, err)
	state.Apply(1, command)
	now := time.Now()
	server := func(id, service string, startedAfter time.Duration) roster.Server {
		return roster.Server{
			ID: id, Service: service, Address: "10.0.0.1:80", Zone: "a", Slots: 4, State: roster.StateReady, Sequence: 1,
			StartedAt: now.Add(startedAfter - time.Minute), LastSeen: now,
		}
	}
	foreign := server("x", "not named", time.Second)
	for name, pass := range map[string]func(c *core){
		"sent to this VM": func(c *core) { c.applyAnnouncement(foreign, now, true) },
		"by another control VM": func(c *core) {
			serversAnnounced{servers: []roster.Server{foreign}, sender: "other", reply: make(chan struct{})}.handle(c, now)
		},
		"by an entry VM that attaches": func(c *core) {
			hello := &hubpb.Hello{Vm: "entry-1", Zone: "a", Incarnation: 1, Servers: []*hubpb.Announcement{serverToProto(foreign, now)}}
			entryAttached{session: newSession(hello, func(error) {}), frame: &hubpb.EntryFrame{Hello: hello}}.handle(c, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			c := newCore(&Options{
				Registry: state, Group: func() Group { return nil }, Logger: zerolog.New(&log), UnresponsiveAfter: 5 * time.Second,
				Decode: func([]byte) (*routes.Table, error) {
					return routes.New(routes.Table{Version: 7, Services: []routes.Service{{Name: "plain"}}}), nil
				},
			})
			c.applyTable(now)
			c.applyAnnouncement(server("s1", "plain", 0), now, true)
			pass(c)
			require.Len(t, c.roster.Ready("plain"), 1)
			require.Contains(t, log.String(), "announcement_conflict")
			require.Contains(t, log.String(), `"known":"s1"`)
		})
	}
}

// The next server at an address replaces the former one on all entry VMs, also on one that has
// not seen both announcements.
func TestDisplacedServerIsReportedAsGone(t *testing.T) {
	c := newFleetCore(t, 1)
	now := time.Now()
	attachAll(c, 1, now)
	c.flush(now)
	former := c.roster.All()[0]
	next := former
	next.ID, next.StartedAt = "next", former.StartedAt.Add(time.Second)
	c.roster.SetServices(map[string]bool{former.Service: true})
	c.applyAnnouncement(next, now, true)
	for s := range c.sessions {
		states := map[string]hubpb.ServerState{}
		for _, message := range s.pending().GetServers() {
			states[message.GetId()] = message.GetState()
		}
		require.Equal(t, map[string]hubpb.ServerState{former.ID: hubpb.ServerState_SERVER_GONE, "next": hubpb.ServerState_SERVER_READY}, states)
	}
}
