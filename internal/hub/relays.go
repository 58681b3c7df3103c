package hub

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
)

const (
	// maxRelays is the maximum number of relays that an entry VM is sent.
	maxRelays = 16
	// maxZoneRelays is the maximum number of them in the entry VM's own zone, if enough
	// others are known.
	maxZoneRelays = 10
	// maxRelayUpdates is the maximum number of entry VMs in each tick that are sent changed
	// relays before their next view is due. It bounds the time of a tick in a large fleet.
	maxRelayUpdates = 32
)

// Relay is an entry VM that relays connections of other entry VMs to backend servers.
type Relay struct {
	VM   string
	Zone string
	// Address is the "ip:port" of the relay.
	Address string
	// CutOff is set if the entry VM itself reaches (almost) no backend server.
	CutOff bool
}

// relayList holds the relays of all entry VMs that a control VM knows.
type relayList struct {
	relays map[string]Relay
	// owners holds the sessions of the attached entry VMs.
	owners map[string]*session
	// version increases with each change of relays.
	version uint64
	// sorted holds the relays by name.
	sorted []hashedRelay
}

func newRelayList() *relayList {
	return &relayList{relays: map[string]Relay{}, owners: map[string]*session{}, version: 1}
}

// set records a relay. One without an address is removed.
func (l *relayList) set(relay Relay) {
	if relay.Address == "" {
		l.remove(relay.VM)
		return
	}
	if l.relays[relay.VM] != relay {
		l.relays[relay.VM] = relay
		l.version++
		hashed := hashedRelay{Relay: relay, hash: hashName(relay.VM)}
		if index, found := l.index(relay.VM); found {
			l.sorted[index] = hashed
		} else {
			l.sorted = slices.Insert(l.sorted, index, hashed)
		}
	}
}

// setRemote records a relay that another control VM reports. It is ignored for an entry
// VM that is attached here: the report is older than its stream.
func (l *relayList) setRemote(relay Relay) {
	if l.owners[relay.VM] == nil {
		l.set(relay)
	}
}

// release forgets that an entry VM is attached by this session. Its relay stays.
func (l *relayList) release(s *session) {
	if l.owners[s.vm] == s {
		delete(l.owners, s.vm)
	}
}

// expire removes the relay of an entry VM that was not seen for a while.
func (l *relayList) expire(vm string) {
	if l.owners[vm] == nil {
		l.remove(vm)
	}
}

func (l *relayList) remove(vm string) {
	if _, found := l.relays[vm]; found {
		delete(l.relays, vm)
		l.version++
		if index, found := l.index(vm); found {
			l.sorted = slices.Delete(l.sorted, index, index+1)
		}
	}
}

// index returns the index in sorted at which the relay of an entry VM is or belongs.
func (l *relayList) index(vm string) (index int, found bool) {
	return slices.BinarySearchFunc(l.sorted, vm, func(relay hashedRelay, vm string) int { return cmp.Compare(relay.VM, vm) })
}

// all returns the relays by name. The result is valid until the next change.
func (l *relayList) all() []hashedRelay { return l.sorted }

// hashedRelay is a relay with the hash of its entry VM's name.
type hashedRelay struct {
	Relay
	hash uint64
}

func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum64()
}

// setRelay records the relay of an attached entry VM and queues it for the other control
// VMs if it has changed.
func (c *core) setRelay(s *session, relay Relay) {
	c.relays.owners[s.vm] = s
	if s.relay == relay {
		return
	}
	s.relay = relay
	c.relays.set(relay)
	c.peers.addRelay(relay)
}

// addRelays adds the relays for an entry VM to the view that is queued for it, unless it
// has got the same ones before.
func (c *core) addRelays(s *session) {
	view := s.pending().GetView()
	counted := view.GetEntryVms() > 0
	if s.relaysVersion == c.relays.version && s.relaysCounted == counted {
		return
	}
	selected := selectRelays(c.relays.all(), s.vm, s.zone)
	if s.relaysVersion == 0 || s.relaysCounted != counted || !slices.Equal(selected, s.relaysSent) {
		view.HasRelays, view.Relays = true, make([]*hubpb.Relay, 0, len(selected))
		for _, relay := range selected {
			view.Relays = append(view.Relays, relayToProto(relay))
		}
	}
	s.relaysVersion, s.relaysSent, s.relaysCounted = c.relays.version, selected, counted
}

// sendRelays sends entry VMs whose relays have changed a view with the new ones, at most
// maxRelayUpdates of them. The others get theirs with the next views.
func (c *core) sendRelays(now time.Time) {
	remaining := maxRelayUpdates
	for s := range c.sessions {
		if s.relaysVersion == c.relays.version {
			continue
		}
		if remaining--; remaining < 0 {
			return
		}
		if selected := selectRelays(c.relays.all(), s.vm, s.zone); slices.Equal(selected, s.relaysSent) {
			s.relaysVersion = c.relays.version
			continue
		}
		c.sendView(s, now)
	}
}

// selectRelays selects at most maxRelays relays for an entry VM, in the order in which it
// should try them. Relays that are cut off come last and are left out first. Of the
// others, those in the zone come first, and at most maxZoneRelays of them leave room for
// other zones, because all entry VMs of a zone may be cut off together. Further ties are
// broken by rendezvous hashing, which spreads the entry VMs over the relays evenly.
func selectRelays(relays []hashedRelay, vm, zone string) []Relay {
	inZone, others := topRelays{}, topRelays{}
	seed := mix(hashName(vm))
	for i := range relays {
		relay := &relays[i]
		if relay.VM == vm {
			continue
		}
		ranked := rankedRelay{relay: relay, weight: mix(seed ^ relay.hash)}
		if relay.Zone == zone {
			inZone.add(ranked)
		} else {
			others.add(ranked)
		}
	}
	fromZone := min(len(inZone), max(maxRelays-len(others), maxZoneRelays))
	for fromZone < min(len(inZone), maxRelays) && others[maxRelays-fromZone-1].relay.CutOff && !inZone[fromZone].relay.CutOff {
		fromZone++
	}
	for fromZone > 0 && len(others) > maxRelays-fromZone && inZone[fromZone-1].relay.CutOff && !others[maxRelays-fromZone].relay.CutOff {
		fromZone--
	}
	selected := make([]Relay, 0, maxRelays)
	for _, ranked := range slices.Concat(inZone[:fromZone], others[:min(len(others), maxRelays-fromZone)]) {
		selected = append(selected, ranked.relay.Relay)
	}
	slices.SortStableFunc(selected, func(a, b Relay) int { return compareBool(a.CutOff, b.CutOff) })
	return selected
}

type rankedRelay struct {
	relay  *hashedRelay
	weight uint64
}

// compare orders relays that are cut off last, the others by descending weight.
func (r rankedRelay) compare(other rankedRelay) int {
	if order := compareBool(r.relay.CutOff, other.relay.CutOff); order != 0 {
		return order
	}
	return cmp.Compare(other.weight, r.weight)
}

// topRelays holds the first maxRelays relays in the order of compare.
type topRelays []rankedRelay

func (t *topRelays) add(ranked rankedRelay) {
	if len(*t) == maxRelays {
		if ranked.compare((*t)[maxRelays-1]) >= 0 {
			return
		}
		*t = (*t)[:maxRelays-1]
	}
	index, _ := slices.BinarySearchFunc(*t, ranked, rankedRelay.compare)
	*t = slices.Insert(*t, index, ranked)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// mix is the 64-bit finalizer of MurmurHash3, which spreads the bits of an FNV-1a hash.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

func relayToProto(relay Relay) *hubpb.Relay {
	return &hubpb.Relay{Vm: relay.VM, Zone: relay.Zone, Address: relay.Address, CutOff: relay.CutOff}
}

func relaysFromProto(messages []*hubpb.Relay) []Relay {
	relays := make([]Relay, 0, len(messages))
	for _, message := range messages {
		relays = append(relays, Relay{VM: message.GetVm(), Zone: message.GetZone(), Address: message.GetAddress(), CutOff: message.GetCutOff()})
	}
	return relays
}

// updateRelays returns the relays that an entry VM knows after it received others. Before
// the sender has counted the entry VMs, the received ones are added to the known ones, in
// front of them, because a control VM that has just started knows few.
func updateRelays(known, received []Relay, counted bool, vm string) []Relay {
	updated := slices.DeleteFunc(received, func(relay Relay) bool { return relay.VM == vm })
	if counted {
		return updated
	}
	for _, relay := range known {
		isReceived := slices.ContainsFunc(updated, func(other Relay) bool { return other.VM == relay.VM })
		if !isReceived && len(updated) < maxRelays {
			updated = append(updated, relay)
		}
	}
	return updated
}
