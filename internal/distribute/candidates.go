package distribute

import (
	"hash/fnv"
	"io"
	"slices"
)

// Peer is a VM that can be watched.
type Peer struct {
	Name string
	Zone string
	// Address is the "ip:port" of its gRPC listener.
	Address string
	Control bool
}

// maxForeignEntryVMs bounds the entry VMs of other zones that are tried.
const maxForeignEntryVMs = 16

// candidates orders the peers that self may watch: control VMs of its zone,
// other control VMs, entry VMs of its zone, a few entry VMs of other zones.
// Within each group the order differs between VMs, so that they spread.
func candidates(self Self, peers []Peer) []Peer {
	var groups [4][]Peer
	for _, peer := range peers {
		if peer.Name != self.VM {
			group := groupOf(self, peer)
			groups[group] = append(groups[group], peer)
		}
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Peer) int {
			return compareNumbers(weight(self.VM, b.Name), weight(self.VM, a.Name))
		})
	}
	groups[3] = groups[3][:min(len(groups[3]), maxForeignEntryVMs)]
	return slices.Concat(groups[:]...)
}

func groupOf(self Self, peer Peer) int {
	switch {
	case peer.Control && peer.Zone == self.Zone:
		return 0
	case peer.Control:
		return 1
	case peer.Zone == self.Zone:
		return 2
	}
	return 3
}

// betterThan reports whether self would rather watch another peer than current.
// An entry VM of its zone is good enough, since control VMs may be full.
func betterThan(self Self, current Peer, peers []Peer) bool {
	group := groupOf(self, current)
	if self.Control || group == 0 || group == 2 {
		return false
	}
	return slices.ContainsFunc(peers, func(peer Peer) bool {
		return peer.Name != self.VM && groupOf(self, peer) < group
	})
}

// afterBusy reorders the rest of the candidates when a control VM serves as
// many watchers as it may: entry VMs of the zone come first then, so that a
// large zone does not take the places of control VMs of other zones.
func afterBusy(self Self, rest []Peer) []Peer {
	rest = slices.Clone(rest)
	slices.SortStableFunc(rest, func(a, b Peer) int {
		return rankAfterBusy(self, a) - rankAfterBusy(self, b)
	})
	return rest
}

func rankAfterBusy(self Self, peer Peer) int {
	if !peer.Control && peer.Zone == self.Zone {
		return -1
	}
	return groupOf(self, peer)
}

// weight is the rendezvous hash of a pair of VMs.
func weight(self, peer string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, self+"\n"+peer)
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
