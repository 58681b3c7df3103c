package site

import (
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// newIncarnation returns a number that identifies this start of a VM's process. It is
// random, since the platform starts many VMs at the same instant. The name and the time
// keep it apart from others where the sources of randomness of two VMs agree.
func newIncarnation(vm string, now time.Time) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm)) // never fails
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(now.UnixNano())))
	random := make([]byte, 8)
	_, _ = rand.Read(random) // never fails
	_, _ = hash.Write(random)
	return hash.Sum64()
}
