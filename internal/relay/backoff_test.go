package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Connections that fail at the same time show one failure of the peer.
func TestFailuresAtTheSameTimeProlongABackoffOnce(t *testing.T) {
	p := NewPaths()
	peer := Peer{VM: "b", Zone: "a", Address: "b:1"}
	other := Peer{VM: "c", Zone: "a", Address: "c:1"}
	for range 5 {
		p.PeerFailed(start, peer.Address)
	}
	peers, _ := p.Peers(start.Add(minPeerBackoff), "a", "s:1", []Peer{peer, other})
	require.Contains(t, peers, peer)
}

func TestPeerInBackoffIsAskedIfThereIsNoOther(t *testing.T) {
	p := NewPaths()
	peer := Peer{VM: "b", Zone: "a", Address: "b:1"}
	p.PeerFailed(start, peer.Address)
	peers, _ := p.Peers(start.Add(100*time.Millisecond), "a", "s:1", []Peer{peer, {VM: "c", Zone: "a", Address: "c:1", CutOff: true}})
	require.Equal(t, []Peer{peer}, peers)
}
