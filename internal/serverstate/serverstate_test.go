package serverstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/roster"
)

var now = time.Unix(1_700_000_000, 0)

func server(id string, startedAfter time.Duration) roster.Server {
	return roster.Server{ID: id, Service: "s", Address: "a:1", State: roster.StateReady, StartedAt: now.Add(startedAfter - time.Hour)}
}

func isBlocked(t *Table, at time.Time, s roster.Server) bool {
	_, blocked := t.Check(at, s)
	return blocked
}

func TestDrainingServerStaysBlocked(t *testing.T) {
	table, s := NewTable(), server("i1", 0)
	require.True(t, table.Record(now, s, Statement{Draining: true}).Draining)
	require.False(t, table.Record(now.Add(time.Second), s, Statement{Draining: true}).Draining)
	require.False(t, table.Record(now, s, Statement{}).Draining)
	block, blocked := table.Admit(now.Add(time.Hour), s)
	require.True(t, blocked)
	require.Equal(t, Block{Server: "i1", Reason: ReasonDraining, StatedAt: now}, block)
}

func TestStatementsConcernOneIncarnation(t *testing.T) {
	table, former, later := NewTable(), server("i1", 0), server("i1", time.Minute)
	table.Record(now, former, Statement{Draining: true, Backoff: time.Minute})
	require.False(t, isBlocked(table, now, later), "a new incarnation must not be blocked by the former one")
	require.False(t, isBlocked(table, now, server("i2", time.Minute)), "nor another server at the address")
	table.Record(now, later, Statement{Backoff: time.Second})
	table.Record(now, former, Statement{Draining: true})
	block, _ := table.Check(now, later)
	require.Equal(t, ReasonBackoff, block.Reason, "a late answer of the former incarnation must be ignored")
}

func TestBackoffIsNeverShortened(t *testing.T) {
	table, s := NewTable(), server("i1", 0)
	require.True(t, table.Record(now, s, Statement{Backoff: 2 * time.Second}).Backoff)
	require.False(t, table.Record(now.Add(time.Second), s, Statement{Backoff: 500 * time.Millisecond}).Backoff)
	require.True(t, isBlocked(table, now.Add(2*time.Second-1), s))
	require.False(t, isBlocked(table, now.Add(2*time.Second), s))
}

func TestServerGetsRequestsGraduallyAfterItsBackoff(t *testing.T) {
	table, s := NewTable(), server("i1", 0)
	table.Record(now, s, Statement{Backoff: time.Minute})
	end := now.Add(time.Minute)
	total, want := 0, 1
	for step := range rampSteps {
		at := end.Add(time.Duration(step) * maxRampStep)
		for {
			block, blocked := table.Admit(at, s)
			if blocked {
				require.Equal(t, ReasonRamp, block.Reason)
				require.Equal(t, end.Add(time.Duration(step+1)*maxRampStep), block.Until)
				break
			}
			total++
		}
		require.Equal(t, want, total)
		want *= 2
	}
	require.False(t, isBlocked(table, end.Add(rampSteps*maxRampStep), s))
}

func TestRampIsNotLongerThanTheBackoff(t *testing.T) {
	for _, backoff := range []time.Duration{1, 100 * time.Millisecond, time.Second} {
		table, s := NewTable(), server("i1", 0)
		table.Record(now, s, Statement{Backoff: backoff})
		for range 1 << rampSteps {
			table.Admit(now.Add(backoff), s)
		}
		require.True(t, isBlocked(table, now.Add(backoff), s))
		require.False(t, isBlocked(table, now.Add(max(2*backoff, rampSteps+1)), s))
	}
}

func TestBlocksListsTheServersOfOneService(t *testing.T) {
	table := NewTable()
	other := server("i3", 0)
	other.Service = "t"
	for _, s := range []roster.Server{server("i2", 0), server("i1", 0), other} {
		table.Record(now, s, Statement{Draining: true})
	}
	blocks := table.Blocks(now, "s")
	require.Len(t, blocks, 2)
	require.Equal(t, "i1", blocks[0].Server)
}

func TestTableIsBoundedByTheRoster(t *testing.T) {
	table := NewTable()
	s, rejecting := server("i1", 0), server("i2", 0)
	table.Record(now, s, Statement{Draining: true})
	table.Record(now, rejecting, Statement{Backoff: time.Second})
	known := map[string]roster.Server{"i1": s, "i2": rejecting}
	find := func(id string) (roster.Server, bool) { found, ok := known[id]; return found, ok }
	table.Sweep(now.Add(time.Second+rampSteps*maxRampStep), find)
	require.Equal(t, 1, table.Len(), "a backoff whose ramp has ended has no effect")
	gone := now.Add(time.Minute)
	table.Sweep(gone, find)
	delete(known, "i1")
	table.Sweep(gone.Add(retention), find)
	require.Empty(t, table.Blocks(gone.Add(retention), "s"), "a server that left the roster needs no exclusion")
	require.True(t, isBlocked(table, gone.Add(retention), s), "a delayed announcement must not readmit it")
	table.Sweep(gone.Add(retention+1), find)
	require.Zero(t, table.Len())
}
