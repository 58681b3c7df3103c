package hub

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/schedule"
)

// ReportLateEvent reports an event of a placed stream that came after a gap longer than the maximum gap of the stream.
func (l *Link) ReportLateEvent(id schedule.JobID, gap time.Duration) {
	_ = l.send(context.Background(), lateEventReceived{id: id, gap: gap})
}

// lateEventReceived reports a late event of a placed stream to this VM's own scheduler and to the attached control VM.
type lateEventReceived struct {
	id  schedule.JobID
	gap time.Duration
}

func (m lateEventReceived) handle(s *linkState, now time.Time) {
	s.local.RecordLateEvent(now, m.id, m.gap)
	if s.outbox != nil && s.running[m.id] != nil {
		s.pending().LateEvents = append(s.pending().LateEvents, &hubpb.LateEvent{Id: m.id.Seq, GapMs: uint32(m.gap.Milliseconds())})
	}
}

// applyLateEvents records late events of an entry VM's streams.
func (c *core) applyLateEvents(vm uint64, events []*hubpb.LateEvent, now time.Time) {
	for _, event := range events {
		gap := time.Duration(event.GetGapMs()) * time.Millisecond
		c.scheduler.RecordLateEvent(now, schedule.JobID{VM: vm, Seq: event.GetId()}, gap)
	}
}

// forwardLateEvents queues late events of an attached entry VM's streams for the leader.
func (c *core) forwardLateEvents(s *session, events []*hubpb.LateEvent) {
	if len(events) > 0 && c.upstream != nil && c.upstream.outbox != nil {
		part := c.upstream.pendingVM(c.options.Address, s)
		part.LateEvents = append(part.LateEvents, events...)
	}
}

// reportSlowdowns logs the model engines that became slow or ceased to be. Only the leader reports.
func (c *core) reportSlowdowns() {
	for _, change := range c.scheduler.TakeSlowdownChanges() {
		if c.isLeader {
			observe.Log(c.options.Logger, observe.ServerSlowdownChanged).Str("server", change.Server).Float64("slowdown", change.Slowdown).
				Int("late_streams", change.LateStreams).Int("streams", change.Streams).Send()
		}
	}
}
