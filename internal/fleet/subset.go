package fleet

import (
	"hash/fnv"
	"io"
	"slices"
	"strings"

	"godwityoke.example/godwityoke/internal/settings"
)

// Subset assigns each backend server to a subset of the zone's entry VMs, to which it
// announces itself.
type Subset struct {
	peers []settings.Peer
	size  int
}

// NewSubset returns a Subset of the entry VMs of zone that have an address for backend
// servers. Each server is assigned to size of them, or to all if size is not positive
// or exceeds their number.
func NewSubset(entryVMs []settings.Peer, zone string, size int) *Subset {
	var peers []settings.Peer
	for _, peer := range entryVMs {
		if peer.Zone == zone && peer.Backends != "" {
			peers = append(peers, peer)
		}
	}
	if size <= 0 || size > len(peers) {
		size = len(peers)
	}
	return &Subset{peers: peers, size: size}
}

// AddressesFor returns the addresses of the entry VMs that a server announces itself to. With
// rendezvous hashing, adding or removing an entry VM moves no server between other entry VMs.
func (s *Subset) AddressesFor(serverID string) []string {
	ranked := slices.Clone(s.peers)
	slices.SortFunc(ranked, func(a, b settings.Peer) int {
		weightA, weightB := weight(serverID, a.Name), weight(serverID, b.Name)
		if weightA != weightB {
			if weightA > weightB {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	addresses := make([]string, 0, s.size)
	for _, peer := range ranked[:s.size] {
		addresses = append(addresses, peer.Backends)
	}
	return addresses
}

// weight returns the rendezvous weight of the entry VM name for a server.
func weight(serverID, name string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, name+"\x00"+serverID)
	return mix(hash.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. It spreads the low bits of an FNV hash over
// all bits, since the last input bytes hardly affect its high bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
