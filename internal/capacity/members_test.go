package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const term = 2 * time.Second

// zone runs members of one zone that ask each other at each tick.
type zone struct {
	names   []string
	members map[string]*Members
	now     time.Time
	// cut tells which questions and answers are lost.
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

// held sums the shares of server that all members would grant at once.
func (z *zone) held(server string) int {
	sum := 0
	for _, name := range z.names {
		held, _ := z.members[name].Shares(server, z.now)
		sum += held
	}
	return sum
}

func TestSharesAreNeverGivenTwice(t *testing.T) {
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
						assert.LessOrEqual(t, z.held(server), 3)
					}
				}
			}
			whole := func() bool {
				for _, server := range servers {
					if z.held(server) != 3 {
						return false
					}
				}
				return true
			}
			run(20)
			assert.True(t, whole(), "all shares are granted in a healthy zone")
			z.cut = cut
			run(20)
			if name == "split" || name == "vm lost" {
				served := 0
				for _, server := range servers {
					served += z.held(server)
				}
				assert.GreaterOrEqual(t, served, 2*len(servers), "the shares of the VMs that see each other stay in use")
			}
			z.cut = func(string, string) bool { return false }
			run(20)
			assert.True(t, whole(), "all shares come back after the cut")
		})
	}
}

func TestSchedulerMovesOnlyTheServersOfALostVM(t *testing.T) {
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
