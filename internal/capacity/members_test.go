package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const term = 2 * time.Second

// zone runs the Members of all VMs of a zone. They exchange views at each tick.
type zone struct {
	names   []string
	members map[string]*Members
	now     time.Time
	// cut reports whether messages from one VM to another are lost.
	cut func(from, to string) bool
}

func newZone(names ...string) *zone {
	z := &zone{names: names, members: map[string]*Members{}, now: start, cut: func(string, string) bool { return false }}
	for _, name := range names {
		z.members[name] = NewMembers(name, names, term)
	}
	return z
}

func (z *zone) tick(step time.Duration) {
	z.now = z.now.Add(step)
	for _, name := range z.names {
		z.members[name].Update(z.now)
	}
	for _, from := range z.names {
		for _, to := range z.names {
			if from == to || z.cut(from, to) {
				continue
			}
			z.members[to].RecordContact(from, z.now)
			if !z.cut(to, from) {
				z.members[from].RecordView(to, z.members[to].View(), z.now, z.now)
			}
		}
	}
}

// grantableShares returns the sum of the shares of server that all VMs may grant now.
func (z *zone) grantableShares(server string) int {
	sum := 0
	for _, name := range z.names {
		held, _ := z.members[name].Shares(server, z.now)
		sum += held
	}
	return sum
}

// TestSharesAreNeverGrantedTwice guards against VMs that count the same share during or after
// a partition, and against shares that stay unused.
func TestSharesAreNeverGrantedTwice(t *testing.T) {
	const step = term / 4
	servers := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	cuts := map[string]func(from, to string) bool{
		"vm lost":       func(from, to string) bool { return from == "b" || to == "b" },
		"split":         func(from, to string) bool { return (from == "a") != (to == "a") },
		"one link":      func(from, to string) bool { return from == "a" && to == "c" || from == "c" && to == "a" },
		"one direction": func(from, to string) bool { return from == "a" && to == "c" },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			z := newZone("a", "b", "c")
			run := func(ticks int) {
				for range ticks {
					z.tick(step)
					for _, server := range servers {
						assert.LessOrEqual(t, z.grantableShares(server), 3)
					}
				}
			}
			allSharesUsed := func() bool {
				for _, server := range servers {
					if z.grantableShares(server) != 3 {
						return false
					}
				}
				return true
			}
			run(20)
			assert.True(t, allSharesUsed(), "all shares are used in a healthy zone")
			z.cut = cut
			run(20)
			if name == "split" || name == "vm lost" {
				served := 0
				for _, server := range servers {
					served += z.grantableShares(server)
				}
				assert.GreaterOrEqual(t, served, 2*len(servers), "the shares of the VMs that reach each other stay in use")
			}
			z.cut = func(string, string) bool { return false }
			run(20)
			assert.True(t, allSharesUsed(), "all shares are used again after the partition")
		})
	}
}

func TestLossOfAVMMovesOnlyItsOwnGroups(t *testing.T) {
	all := []string{"a", "b", "c"}
	counts := map[string]int{}
	for i := range 300 {
		server := "engine-" + string(rune('0'+i%10)) + string(rune('a'+i/10))
		before := Scheduler(server, all)
		counts[before]++
		if before != "b" {
			assert.Equal(t, before, Scheduler(server, []string{"a", "c"}))
		}
	}
	for vm, count := range counts {
		assert.InDelta(t, 100, count, 35, vm)
	}
}
