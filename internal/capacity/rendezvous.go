package capacity

import "hash/fnv"

// Scheduler returns the VM among live that schedules group, by rendezvous hashing: if a VM
// is added or removed, only the groups of that VM move. It returns "" if live is empty.
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

// mix is the finalizer of SplitMix64. FNV alone produces similar high bits for short
// inputs.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// EngineWeight returns a hash of the server ID, for an order of engines that is the same
// on all VMs and independent of their naming.
func EngineWeight(server string) uint64 { return rendezvousWeight(server, "") }
