package capacity

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func groupEngines(memory ...int64) []GroupEngine {
	engines := make([]GroupEngine, len(memory))
	for i, m := range memory {
		engines[i] = GroupEngine{Server: fmt.Sprintf("e%d", i), Memory: m, Free: m}
	}
	return engines
}

func TestPlanGroup(t *testing.T) {
	planned := PlanGroup(1000, 10, groupEngines(400, 400, 400, 400, 400), 20)
	assert.Equal(t, []Segment{
		{"e0", 0, 250, 250}, {"e1", 250, 500, 250}, {"e2", 500, 750, 250}, {"e3", 750, 1000, 260},
	}, planned, "four segments leave the reserve of 80 tokens on each engine")
	assert.Nil(t, PlanGroup(1000, 10, groupEngines(400, 400, 400), 20))
	assert.Len(t, PlanGroup(1000, 10, groupEngines(400, 400, 400), 0), 3)

	engines := groupEngines(400, 400, 400, 400, 400)
	engines[1].Free = 10
	planned = PlanGroup(1000, 10, engines, 20)
	assert.Equal(t, []string{"e0", "e2", "e3", "e4"}, []string{planned[0].Server, planned[1].Server, planned[2].Server, planned[3].Server})
}

func TestPlanGroupCoversThePromptWithoutGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.Int64Range(2, 2_000_000).Draw(t, "prompt")
		engines := groupEngines(rapid.SliceOfN(rapid.Int64Range(1000, 500_000), 1, 8).Draw(t, "memory")...)
		reserve := float64(rapid.IntRange(0, 50).Draw(t, "reserve"))
		memory := map[string]int64{}
		for _, e := range engines {
			memory[e.Server] = e.Memory
		}
		position := int64(0)
		last := ""
		for _, s := range PlanGroup(prompt, 100, engines, reserve) {
			require.Equal(t, position, s.Start)
			require.Greater(t, s.End, s.Start)
			require.Greater(t, s.Server, last, "segments must be sorted by server, the order in which all groups acquire")
			require.LessOrEqual(t, float64(s.Tokens), float64(memory[s.Server])*(1-reserve/100))
			position, last = s.End, s.Server
		}
		require.True(t, position == prompt || position == 0)
	})
}

// groupModel runs groups that compete for engines. Each acquires its leases in order.
type groupModel struct {
	cores  map[string]*Core
	wanted map[string][]Segment
	// granted is the number of leases that each group has acquired.
	granted map[string]int
}

func (m *groupModel) request(group string, now time.Time) {
	next := m.wanted[group][m.granted[group]]
	m.cores[next.Server].Acquire(Request{
		Attempt: group, Holder: group, Tokens: next.Tokens, LatestStart: now.Add(time.Hour), Deadline: now.Add(time.Hour),
	}, now)
}

// collect requests the next lease for each group that was granted one, and returns the
// groups that hold all their leases.
func (m *groupModel) collect(now time.Time) []string {
	var complete []string
	for moved := true; moved; {
		moved = false
		for _, core := range m.cores {
			for _, decision := range core.TakeDecisions() {
				moved = true
				m.granted[decision.Attempt]++
				if m.granted[decision.Attempt] == len(m.wanted[decision.Attempt]) {
					complete = append(complete, decision.Attempt)
					continue
				}
				m.request(decision.Attempt, now)
			}
		}
	}
	return complete
}

// TestGroupsDoNotDeadlock runs groups that compete for overlapping engines. All of them must
// acquire their leases, because they do so in the same order.
func TestGroupsDoNotDeadlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &groupModel{cores: map[string]*Core{}, wanted: map[string][]Segment{}, granted: map[string]int{}}
		engines := groupEngines(400, 400, 400, 400)
		for _, e := range engines {
			m.cores[e.Server] = NewCore(e.Memory, DefaultConfig(term, 20, time.Hour))
			m.cores[e.Server].SetLimit(e.Memory, start)
		}
		groups := rapid.IntRange(1, 6).Draw(t, "groups")
		for i := range groups {
			name := fmt.Sprintf("g%d", i)
			for index := range engines {
				engines[index].Free = int64(rapid.IntRange(0, 400).Draw(t, "free"))
			}
			m.wanted[name] = PlanGroup(int64(rapid.IntRange(350, 1200).Draw(t, "prompt")), 10, engines, 20)
			if m.wanted[name] == nil {
				delete(m.wanted, name)
				continue
			}
			m.request(name, start)
		}
		for range m.wanted {
			for _, done := range m.collect(start) {
				for _, segment := range m.wanted[done] {
					m.cores[segment.Server].Release(done, false, start)
				}
			}
		}
		for name, segments := range m.wanted {
			require.Equal(t, len(segments), m.granted[name], "group %s did not acquire all its leases", name)
		}
		for server, core := range m.cores {
			require.Zero(t, core.Usage().Leased(), server)
		}
	})
}

func TestFailedGroupAcquisitionReleasesItsLeases(t *testing.T) {
	planned := PlanGroup(1000, 10, groupEngines(400, 400, 400), 0)
	holder := NewHolder(HolderOptions{VM: "a", Service: NewService(ServiceOptions{
		VM: "a", Zone: []string{"a"}, Config: testConfig, Clock: time.Now,
	}), LeaseTerm: term, Clock: time.Now})
	refused := errors.New("refused")
	acquired := 0
	_, err := AcquireGroup(planned, func(segment Segment) (*Lease, error) {
		if acquired == 2 {
			return nil, refused
		}
		acquired++
		return holder.Adopt(testGroup, segment.Server, Request{Attempt: segment.Server}), nil
	})
	require.ErrorIs(t, err, refused)
	assert.Zero(t, holder.HeldCount(), "the acquired leases must be released")
	assert.Len(t, holder.outboxes["a"].releases, 2)
}
