package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func TestVMThatReachesOneServerIsNotCutOff(t *testing.T) {
	p := NewPaths()
	for i := range 10 {
		p.DirectFailed(start, fmt.Sprintf("s%d:1", i))
		p.ReachedByPeer(start, fmt.Sprintf("s%d:1", i), "peer:1")
	}
	require.True(t, p.IsCutOff(start))
	require.True(t, p.IsBroken(start, "other:1"))
	p.DirectAnswered(start.Add(time.Millisecond), "other:1")
	require.False(t, p.IsCutOff(start.Add(time.Millisecond)))
	require.False(t, p.IsBroken(start.Add(time.Millisecond), "other:1"))
	require.True(t, p.IsBroken(start.Add(time.Millisecond), "s0:1"), "its own path is still broken")
}

func TestVMThatDoesNotReachOneServiceIsNotCutOff(t *testing.T) {
	p := NewPaths()
	desks := []string{"desk1:1", "desk2:1", "desk3:1"}
	for round := range 5 {
		now := start.Add(time.Duration(round) * time.Second)
		for _, desk := range desks {
			p.DirectFailed(now, desk)
			p.ReachedByPeer(now, desk, "peer:1")
		}
		p.DirectAnswered(now.Add(100*time.Millisecond), "engine:1")
	}
	now := start.Add(10 * time.Second)
	p.DirectFailed(now, desks[0])
	p.DirectFailed(now, desks[1])
	p.DirectFailed(now, desks[2])
	require.False(t, p.IsCutOff(now))
	require.False(t, p.Use(now, "engine:1"))
	require.True(t, p.Use(now, desks[0]))
}

func TestDeadServersDoNotCutOffAVM(t *testing.T) {
	p := NewPaths()
	p.DirectAnswered(start, "s0:1")
	for i := range 2 {
		address := fmt.Sprintf("dead%d:1", i)
		p.DirectFailed(start.Add(time.Second), address)
		p.MissedByPeer(start, address, "peer:1")
		p.ServerIsDown(address)
		require.False(t, p.IsBroken(start.Add(time.Second), address))
	}
	require.False(t, p.IsCutOff(start.Add(time.Second)))
}

func TestVMWhosePeersAreCutOffTooRecognizesThatItIsCutOff(t *testing.T) {
	p := NewPaths()
	p.DirectAnswered(start, "s0:1")
	for i := range minFailedPaths {
		address := fmt.Sprintf("s%d:1", i)
		p.DirectFailed(start.Add(time.Second), address)
		p.MissedByPeer(start, address, "peer:1")
		p.ServerIsDown(address)
	}
	require.True(t, p.IsCutOff(start.Add(time.Second)))
	require.False(t, p.IsCutOff(start.Add(time.Second+failureWindow)), "old failures don't count")
}

func TestFailuresOfDeadServersAreNotBlamedOnTheirPaths(t *testing.T) {
	p := NewPaths()
	for i := range 2 * minFailedPaths {
		address := fmt.Sprintf("dead%d:1", i)
		p.DirectFailed(start, address)
		p.ServerIsDown(address)
		require.False(t, p.IsBroken(start, address))
	}
	require.True(t, p.IsCutOff(start), "a peer is asked first, until a server answers")
}

func TestFailedPathMakesTheLastUsedOnesSuspect(t *testing.T) {
	p := NewPaths()
	for i := range 5 {
		p.Use(start.Add(time.Duration(i)*time.Second), fmt.Sprintf("s%d:1", i))
	}
	now := start.Add(5 * time.Second)
	require.Equal(t, []string{"s3:1", "s2:1"}, p.Suspects(now, "s4:1"))
	require.Empty(t, p.Suspects(now.Add(suspectInterval-1), "s3:1"))
	p.ReachedByPeer(now, "s3:1", "peer:1")
	require.Equal(t, []string{"s2:1", "s1:1"}, p.Suspects(now.Add(suspectInterval), "s4:1"))
	p.ReachedByPeer(now, "s2:1", "peer:1")
	require.Empty(t, p.Suspects(now.Add(time.Minute), "s4:1"), "the VM is known to be cut off")
}

func TestProbesReachAllServersOfACutOffVM(t *testing.T) {
	p := NewPaths()
	const servers = 3 * maxProbes
	for i := range servers {
		p.Use(start, fmt.Sprintf("s%d:1", i))
	}
	require.Empty(t, p.ProbeTargets(start))
	for i := range minBrokenPaths {
		p.DirectFailed(start, fmt.Sprintf("s%d:1", i))
		p.ReachedByPeer(start, fmt.Sprintf("s%d:1", i), "peer:1")
	}
	probed := map[string]bool{}
	for round := range 3 {
		targets := p.ProbeTargets(start.Add(time.Duration(round) * time.Second))
		require.Len(t, targets, maxProbes)
		for _, target := range targets {
			probed[target] = true
		}
	}
	require.Len(t, probed, servers)
	require.Empty(t, p.ProbeTargets(start.Add(retention+time.Minute)), "paths that are not used are dropped")
	require.Empty(t, p.paths)
}

func TestPeersThatAreCutOffOrFailedAreNotAsked(t *testing.T) {
	p := NewPaths()
	all := []Peer{
		{VM: "far", Zone: "b", Address: "far:1"}, {VM: "cut", Zone: "a", Address: "cut:1", CutOff: true},
		{VM: "failed", Zone: "a", Address: "failed:1"}, {VM: "busy", Zone: "a", Address: "busy:1"}, {VM: "idle", Zone: "a", Address: "idle:1"},
	}
	p.PeerFailed(start, "failed:1")
	p.RelayOpened("busy:1")
	peers, reached := p.Peers(start, "a", "s:1", all)
	require.Equal(t, []Peer{all[4], all[3], all[0]}, peers)
	require.False(t, reached)
	peers, _ = p.Peers(start.Add(minPeerBackoff), "a", "s:1", all)
	require.Len(t, peers, 4)
	p.RelayClosed("busy:1")
	p.KeepPeers(nil)
	require.Empty(t, p.peers)
}

func TestPeerThatReachedTheServerIsAskedFirstAndThoseThatMissedItLast(t *testing.T) {
	p := NewPaths()
	all := []Peer{
		{VM: "near", Zone: "a", Address: "near:1"}, {VM: "misses", Zone: "a", Address: "misses:1"}, {VM: "reaches", Zone: "b", Address: "reaches:1"},
	}
	p.MissedByPeer(start, "s:1", "misses:1")
	p.ReachedByPeer(start, "s:1", "reaches:1")
	peers, reached := p.Peers(start, "a", "s:1", all)
	require.Equal(t, []Peer{all[2], all[0], all[1]}, peers)
	require.True(t, reached)
	_, reached = p.Peers(start, "a", "other:1", all)
	require.False(t, reached)
	p.MissedByPeer(start, "s:1", "reaches:1")
	_, reached = p.Peers(start, "a", "s:1", all)
	require.False(t, reached)
	peers, _ = p.Peers(start.Add(missRetention), "a", "s:1", all)
	require.Equal(t, "b", peers[2].Zone, "old misses don't count")
}
