package capacity

import (
	"time"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

func leaseToProto(r Request, now time.Time) *capacitypb.Lease {
	return &capacitypb.Lease{
		Attempt: r.Attempt, Tokens: r.Tokens, PrefillTokens: r.PrefillTokens, Short: r.Short, Priority: int32(r.Priority),
		LatestStartMillis: r.LatestStart.Sub(now).Milliseconds(), DeadlineMillis: r.Deadline.Sub(now).Milliseconds(),
	}
}

func requestFromProto(holder string, m *capacitypb.Lease, now time.Time) Request {
	return Request{
		Attempt: m.GetAttempt(), Holder: holder, Tokens: max(m.GetTokens(), 0), PrefillTokens: max(m.GetPrefillTokens(), 0),
		Short: m.GetShort(), Priority: int(m.GetPriority()),
		LatestStart: now.Add(time.Duration(m.GetLatestStartMillis()) * time.Millisecond),
		Deadline:    now.Add(time.Duration(m.GetDeadlineMillis()) * time.Millisecond),
	}
}

func choicesToProto(choices []Choice) []*capacitypb.Choice {
	messages := make([]*capacitypb.Choice, len(choices))
	for i, c := range choices {
		messages[i] = &capacitypb.Choice{Server: c.Server, PrefillTokens: c.PrefillTokens, TokenNanos: c.TokenTime.Nanoseconds(), Preferred: c.Preferred}
	}
	return messages
}

func choicesFromProto(messages []*capacitypb.Choice) []Choice {
	choices := make([]Choice, len(messages))
	for i, m := range messages {
		choices[i] = Choice{
			Server: m.GetServer(), PrefillTokens: max(m.GetPrefillTokens(), 0),
			TokenTime: time.Duration(max(m.GetTokenNanos(), 0)), Preferred: m.GetPreferred(),
		}
	}
	return choices
}

// statusToProto and kindFromProto convert decision kinds. kindFromProto returns 0 for a
// status that has no kind.
func statusToProto(kind DecisionKind) capacitypb.Status {
	switch kind {
	case Granted:
		return capacitypb.Status_STATUS_GRANTED
	case RefusedTooLarge:
		return capacitypb.Status_STATUS_TOO_LARGE
	case RefusedDeadlineUnreachable:
		return capacitypb.Status_STATUS_NO_TIME
	case RefusedQueueFull:
		return capacitypb.Status_STATUS_QUEUE_FULL
	case RefusedReleased:
		return capacitypb.Status_STATUS_RELEASED
	case RefusedNotScheduler:
		return capacitypb.Status_STATUS_NOT_SCHEDULER
	}
	return capacitypb.Status_STATUS_UNSPECIFIED
}

func kindFromProto(status capacitypb.Status) DecisionKind {
	for kind := Granted; kind <= RefusedNotScheduler; kind++ {
		if statusToProto(kind) == status {
			return kind
		}
	}
	return 0
}
