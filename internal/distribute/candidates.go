package distribute

import (
	"hash/fnv"
	"io"
	"slices"
)

// Peer is a VM that can be watched or polled.
type Peer struct {
	Name string
	Zone string
	// Address is the "ip:port" of the gRPC listener of the VM.
	Address string
	// Control is true for a control VM.
	Control bool
}

// maxOtherZoneEntryVMs is the maximum number of entry VMs of other zones among the candidates.
const maxOtherZoneEntryVMs = 16

// candidates returns the peers that self may watch, in order of preference: control VMs of its zone, other control
// VMs, entry VMs of its zone, and at most maxOtherZoneEntryVMs entry VMs of other zones. Within each group the order
// differs between VMs, so that watchers are distributed evenly over the group.
func candidates(self Self, peers []Peer) []Peer {
	var groups [4][]Peer
	for _, peer := range peers {
		if peer.Name != self.VM {
			group := preferenceGroup(self, peer)
			groups[group] = append(groups[group], peer)
		}
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b Peer) int {
			return compareUint64(rendezvousHash(self.VM, b.Name), rendezvousHash(self.VM, a.Name))
		})
	}
	groups[3] = groups[3][:min(len(groups[3]), maxOtherZoneEntryVMs)]
	return slices.Concat(groups[:]...)
}

// preferenceGroup returns the group of peer as an upstream of self; a lower group is preferred.
func preferenceGroup(self Self, peer Peer) int {
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

// hasBetterUpstream reports whether peers contain a VM that self prefers over its upstream current. Control VMs stay
// with their upstream. So does a VM that watches an entry VM of its own zone, since the control VMs may already serve
// their maximum number of watchers.
func hasBetterUpstream(self Self, current Peer, peers []Peer) bool {
	group := preferenceGroup(self, current)
	if self.Control || group == 0 || group == 2 {
		return false
	}
	return slices.ContainsFunc(peers, func(peer Peer) bool {
		return peer.Name != self.VM && preferenceGroup(self, peer) < group
	})
}

// reorderAfterBusy reorders the remaining candidates after a control VM has refused self as a watcher: entry VMs of the
// own zone come first, so that a large zone does not use up the watcher limits of control VMs in other zones.
func reorderAfterBusy(self Self, remaining []Peer) []Peer {
	remaining = slices.Clone(remaining)
	slices.SortStableFunc(remaining, func(a, b Peer) int {
		return rankAfterBusy(self, a) - rankAfterBusy(self, b)
	})
	return remaining
}

func rankAfterBusy(self Self, peer Peer) int {
	if !peer.Control && peer.Zone == self.Zone {
		return -1
	}
	return preferenceGroup(self, peer)
}

// rendezvousHash returns the weight of peer as an upstream of self for rendezvous hashing: the FNV-1a sum of both
// names, mixed by the first steps of the MurmurHash3 finalizer.
func rendezvousHash(self, peer string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, self+"\n"+peer)
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
