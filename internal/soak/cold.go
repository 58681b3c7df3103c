package soak

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/routes"
)

// What the configuration and the settings state with Options.Cold about model workers: the rate that a cold worker takes, the
// duration of a warm-up after a start, and the bound coldRatio * coldPerSecond + coldAllowance on the requests of any second.
const (
	coldPerSecond = 2
	coldTime      = 3 * time.Second
	coldRatio     = 1.5
	coldAllowance = 5
	coldWindow    = time.Second
	// coldSlots is the number of slots of a model worker. It exceeds the bound, so that a cold worker gets more requests than
	// that when it is treated as a warm one.
	coldSlots = 12
)

const (
	// coldWaves is the number of times in a run at which several model workers become cold.
	coldWaves        = 3
	coldWaveInterval = 6 * time.Second
	// coldLossTime is the time for which the announcements of a worker that has become cold are lost with coldLost.
	coldLossTime = 1500 * time.Millisecond
	// coldNoticeTime is the maximum time from the acknowledgement of the announcement of a worker that has become cold to the
	// last request that was placed without it: 0.2 s to the next frame between control VMs and 0.3 s from a placement to the
	// arrival.
	coldNoticeTime = 500 * time.Millisecond
)

// Variants of KindWorkerCold.
const (
	// coldAnnounced announces at once that the worker has become cold, coldDelayed with the next heartbeat, coldLost with the
	// first one after coldLossTime.
	coldAnnounced = iota
	coldDelayed
	coldLost
	coldVariants
)

// WarmUp is a time span in which a worker is cold.
type WarmUp struct {
	Server      string
	From, Until time.Time
	// Restarted is set if the worker has just started. It is known by its announcements only, so that nothing was sent to it
	// before the warm-up was known.
	Restarted bool
	// KnownAt is the time when an announcement of the warm-up was first acknowledged, zero for none.
	KnownAt time.Time
}

// addCold adds to a plan waves in which some model workers restart or become cold, and faults of the control VMs, or of the
// links to them, soon after. Seeds without other faults restart workers by planned stops, and have no such faults.
func addCold(steps []Step, seed uint64, s topology) []Step {
	random := rand.New(rand.NewPCG(seed, 5))
	within := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	hasFaults := seed%3 != 0
	for wave := range coldWaves {
		start := time.Duration(wave)*coldWaveInterval + within(1500*time.Millisecond)
		restarts := random.IntN(2) == 0
		for _, i := range random.Perm(s.models)[:1+random.IntN(max(1, 3*s.models/4))] {
			step := Step{At: start + within(200*time.Millisecond), Duration: coldTime + within(2*time.Second), Kind: KindWorkerCold, Target: s.worker(i), Variant: random.IntN(coldVariants)}
			switch {
			case restarts && hasFaults:
				step.Kind, step.Duration = KindWorkerCrash, 200*time.Millisecond+within(800*time.Millisecond)
			case restarts:
				step.Kind, step.Duration, step.Variant = KindWorkerDrain, 0, 0
			}
			steps = append(steps, step)
		}
		fault := Step{At: start + 800*time.Millisecond + within(1500*time.Millisecond), Duration: time.Second + within(2*time.Second)}
		control := s.control(random.IntN(s.controls))
		switch random.IntN(4) {
		case 0:
			fault.Kind, fault.Duration = KindKillControlVMs, 0
		case 1:
			fault.Kind, fault.Duration, fault.Targets = KindControlCut, fault.Duration+time.Second, drawCutEntries(random, s)
		case 2:
			fault.Kind, fault.Target = KindFreeze, control
		default:
			fault.Kind, fault.Target = KindKill, control
		}
		if hasFaults {
			steps = append(steps, fault)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// statedWarmUp returns the duration of a warm-up after the start of a worker, 0 for none.
func (s *soak) statedWarmUp(service string) time.Duration {
	if s.options.Cold && service == modelService {
		return coldTime
	}
	return 0
}

// stateWarmUps adds what the configuration states about cold workers.
func (s *soak) stateWarmUps(table *routes.Table) {
	for i := range table.Services {
		if service := &table.Services[i]; s.statedWarmUp(service.Name) > 0 {
			service.ColdPerSecond, service.ColdTime, service.Engine.Slots = coldPerSecond, coldTime, coldSlots
		}
	}
}

// cutControl cuts the targets off from all control VMs for the duration of the step, but not from workers and other entry VMs.
func (s *soak) cutControl(ctx context.Context, step Step) {
	for _, vm := range step.Targets {
		for i := range s.topology.controls {
			for _, control := range []string{s.topology.control(i), s.topology.successor(i)} {
				for _, l := range []link{{vm, control}, {control, vm}} {
					s.network.block(l)
					defer s.network.unblock(l)
				}
			}
		}
	}
	pause.For(ctx, step.Duration)
}

// becomeCold lets a worker become cold for the duration of the step.
func (s *soak) becomeCold(ctx context.Context, step Step) {
	found, _ := s.workers.Load(step.Target)
	supervisor := found.(*workerSupervisor)
	supervisor.mu.Lock()
	worker := supervisor.worker
	supervisor.mu.Unlock()
	if worker == nil {
		return
	}
	now := time.Now()
	worker.mu.Lock()
	worker.coldUntil = now.Add(step.Duration)
	if step.Variant == coldLost {
		worker.lostUntil = now.Add(coldLossTime)
	}
	worker.mu.Unlock()
	worker.options.records.recordWarmUp(&WarmUp{Server: worker.id, From: now, Until: now.Add(step.Duration)})
	if step.Variant == coldAnnounced {
		worker.sendHeartbeat(ctx)
	}
	pause.For(ctx, step.Duration)
}

// ColdLeft implements standin.Worker.
func (w *worker) ColdLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(0, time.Until(w.coldUntil))
}

func (r *recorder) recordWarmUp(warmUp *WarmUp) {
	r.locked(func(all *Records) { all.WarmUps = append(all.WarmUps, warmUp) })
}

// recordAnnounced records that an announcement of a worker was acknowledged by which it is cold until the given time.
func (r *recorder) recordAnnounced(server string, until time.Time) {
	r.locked(func(all *Records) {
		for _, w := range all.WarmUps {
			if w.Server == server && w.KnownAt.IsZero() && !until.Before(w.Until) {
				w.KnownAt = time.Now()
			}
		}
	})
}

// coldUse is the use of a worker in a warm-up.
type coldUse struct {
	*WarmUp
	// first is the first request of the coldWindow with most requests that count, most their number.
	first string
	most  int
}

// coldUses returns the use of each worker in each of its warm-ups. Requests for another incarnation don't count, nor do those
// from entry VMs that could not know yet of the warm-up of a running worker.
func (j *judgement) coldUses() []coldUse {
	if len(j.WarmUps) == 0 {
		return nil
	}
	received := map[string][]*Attempt{}
	for _, id := range slices.Sorted(maps.Keys(j.Attempts)) {
		for _, a := range j.Attempts[id] {
			if a.ExpectedWorker == "" || a.ExpectedWorker == a.Server {
				received[a.Server] = append(received[a.Server], a)
			}
		}
	}
	var uses []coldUse
	for _, w := range j.WarmUps {
		use := coldUse{WarmUp: w}
		var times []*Attempt
		for _, a := range received[w.Server] {
			if !a.ReceivedAt.Before(w.From) && a.ReceivedAt.Before(w.Until) && (w.Restarted || !a.ReceivedAt.Before(j.noticedAt(w, a.SenderVM))) {
				times = append(times, a)
			}
		}
		slices.SortStableFunc(times, func(a, b *Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		for i, first := range times {
			count := 1
			for count < len(times)-i && times[i+count].ReceivedAt.Sub(first.ReceivedAt) < coldWindow {
				count++
			}
			if count > use.most {
				use.first, use.most = first.RequestID, count
			}
		}
		uses = append(uses, use)
	}
	return uses
}

// noticedAt returns from when on an entry VM must know that a running worker has become cold: coldNoticeTime after its
// announcement was acknowledged, or contactTime after a fault of the entry VM or of control VMs that delays the news.
func (j *judgement) noticedAt(w *WarmUp, vm string) time.Time {
	if w.KnownAt.IsZero() {
		return w.Until
	}
	at := w.KnownAt.Add(coldNoticeTime)
	for _, d := range j.Disturbances { // in the order of their beginnings
		delaysNews := !d.Planned && (d.Node == vm || d.Node == "" || strings.HasPrefix(d.Node, controlPrefix))
		if delaysNews && d.From.Before(at) && d.To.Add(contactTime).After(at) {
			at = d.To.Add(contactTime)
		}
	}
	return at
}

// checkWarmUps checks that cold workers get no more requests in any second than the bound allows.
func (j *judgement) checkWarmUps() {
	for _, use := range j.coldUses() {
		if allowed := coldRatio*coldPerSecond + coldAllowance; float64(use.most) > allowed {
			j.report("COLD", use.first, "%s, cold (restarted %t), got %d requests in %v, %.1f are allowed", use.Server, use.Restarted, use.most, coldWindow, allowed)
		}
	}
}

// describeWarmUps describes the warm-ups of a run, empty if there were none.
func describeWarmUps(r *Records) string {
	counts, most := map[bool]int{}, map[bool]int{}
	for _, use := range (&judgement{Records: r}).coldUses() {
		counts[use.Restarted]++
		most[use.Restarted] = max(most[use.Restarted], use.most)
	}
	if len(counts) == 0 {
		return ""
	}
	return fmt.Sprintf("%d workers started cold and got up to %d requests in %v; running ones became cold %d times, up to %d; %.1f are allowed",
		counts[true], most[true], coldWindow, counts[false], most[false], coldRatio*coldPerSecond+coldAllowance)
}
