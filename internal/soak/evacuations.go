package soak

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/platform/standin"
)

const (
	// evacuationTime is the time from an order to evacuate a zone to the order to restore it.
	evacuationTime = 9 * time.Second
	// maxEvacuationDelay is the maximum time after the acknowledgement of an order for which requests may still reach workers
	// of the zone.
	maxEvacuationDelay = 5 * time.Second
	// maxAckDelay is the maximum time for which the operator sends an order again while a majority of the control VMs is
	// undisturbed.
	maxAckDelay = 5 * time.Second
)

// Evacuation is a zone that the operator has evacuated.
type Evacuation struct {
	Zone   string
	SentAt time.Time
	// AckedAt is when the order was acknowledged, EndSentAt when the order to restore the zone was first sent and EndAckedAt
	// when that was acknowledged; zero if they were not.
	AckedAt, EndSentAt, EndAckedAt time.Time
	// Refused is set if an order was refused for good.
	Refused bool
}

// addEvacuations adds to a plan the evacuation of one zone in each burst, which lasts until the calm time.
func addEvacuations(steps []Step, seed uint64) []Step {
	random := rand.New(rand.NewPCG(seed, 4))
	for burst := range 2 {
		start := time.Duration(burst)*(burstTime+calmTime) + time.Duration(random.Int64N(int64(time.Second)))
		steps = append(steps, Step{At: start, Duration: evacuationTime, Kind: KindEvacuate, Variant: random.IntN(len(zones))})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// evacuate evacuates a zone for the duration of the step, and then restores it.
func (s *soak) evacuate(ctx context.Context, step Step) {
	e := &Evacuation{Zone: zones[step.Variant%len(zones)], SentAt: time.Now()}
	s.records.locked(func(r *Records) { r.Evacuations = append(r.Evacuations, e) })
	over := time.Now().Add(step.Duration)
	ackedAt := s.orderEvacuation(ctx, e, true, step.Variant)
	s.records.locked(func(*Records) { e.AckedAt = ackedAt })
	pause.For(ctx, time.Until(over))
	s.records.locked(func(*Records) { e.EndSentAt = time.Now() })
	ackedAt = s.orderEvacuation(ctx, e, false, step.Variant+1)
	s.records.locked(func(*Records) { e.EndAckedAt = ackedAt })
}

// orderEvacuation sends an order to one control VM after another, beginning at index first of controlAddresses, until one
// acknowledges or refuses it, maxOperatorAttempts is reached or ctx ends. It returns the time of the acknowledgement, zero for
// none. Each acknowledged order is sent a second time to another control VM.
func (s *soak) orderEvacuation(ctx context.Context, e *Evacuation, evacuated bool, first int) (ackedAt time.Time) {
	operator := standin.NewOperator(operatorTimeout)
	for attempt := range maxOperatorAttempts {
		if ctx.Err() != nil {
			return time.Time{}
		}
		to := s.controlAddresses.at(first + attempt)
		err := operator.Evacuate(to, e.Zone, evacuated)
		s.addToTimeline("zone %s evacuated %t to %s: %v", e.Zone, evacuated, to, err)
		switch {
		case err == nil:
			ackedAt = time.Now()
			_ = operator.Evacuate(s.controlAddresses.at(first+attempt+1), e.Zone, evacuated) // a resent order changes nothing
			return ackedAt
		case errors.Is(err, standin.ErrRefused):
			s.records.locked(func(*Records) { e.Refused = true })
			return time.Time{}
		}
		pause.For(ctx, readyInterval)
	}
	return time.Time{}
}

// zoneOf returns the zone of an incarnation of a worker.
func (s topology) zoneOf(incarnation string) string {
	for i := range s.workers() {
		if strings.HasPrefix(incarnation, s.worker(i)+"-") {
			return zones[i%len(zones)]
		}
	}
	return ""
}

// checkEvacuations checks that orders are acknowledged in time and that no request reaches a worker of an evacuated zone from
// maxEvacuationDelay after the acknowledgement to the order to restore the zone, unless it was held back or the entry VMs had
// no majority of the control VMs to follow.
func (j *judgement) checkEvacuations() {
	for _, e := range j.Evacuations {
		if e.Refused {
			j.report("EVACUATE", "", "an order for zone %s was refused", e.Zone)
		}
		for _, order := range [][2]time.Time{{e.SentAt, e.AckedAt}, {e.EndSentAt, e.EndAckedAt}} {
			limit := order[0].Add(maxAckDelay + operatorTimeout)
			if !order[0].IsZero() && j.now.After(limit) && (order[1].IsZero() || order[1].After(limit)) && j.followMajority(order[0], limit) {
				j.report("EVACUATE", "", "an order for zone %s was not acknowledged within %v", e.Zone, limit.Sub(order[0]))
			}
		}
		if !e.AckedAt.IsZero() {
			j.checkEvacuated(e)
		}
	}
}

func (j *judgement) checkEvacuated(e *Evacuation) {
	from := e.AckedAt.Add(maxEvacuationDelay)
	for id, attempts := range j.Attempts {
		for _, a := range attempts {
			isOver := !e.EndSentAt.IsZero() && a.ReceivedAt.After(e.EndSentAt)
			if j.ZoneOf == nil || j.ZoneOf(a.Server) != e.Zone || !a.ReceivedAt.After(from) || isOver || !j.followMajority(e.AckedAt, a.ReceivedAt) {
				continue
			}
			if q := j.Requests[id]; q == nil || !j.isHeldBack(a.SenderVM, q.StartedAt, a.ReceivedAt) {
				j.report("EVACUATE", id, "%s got it %v after the evacuation of zone %s", a.Server, a.ReceivedAt.Sub(e.AckedAt), e.Zone)
			}
		}
	}
}
