package capacity

import "hash/fnv"

// Scheduler returns the VM among live that schedules group, by rendezvous
// hashing: when a VM comes or goes, only its own groups move. It returns ""
// when live is empty.
func Scheduler(group string, live []string) string {
	best, bestWeight := "", uint64(0)
	for _, vm := range live {
		weight := rendezvousWeight(group, vm)
		if best == "" || weight > bestWeight || (weight == bestWeight && vm < best) {
			best, bestWeight = vm, weight
		}
	}
	return best
}

func rendezvousWeight(group, vm string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(group))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(vm))
	return mix(hash.Sum64())
}

// mix spreads the bits of x, since FNV leaves the high bits of short inputs
// alike. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// EngineWeight orders engines in the same way on each VM, unlike their names.
func EngineWeight(server string) uint64 { return rendezvousWeight(server, "") }
