package emulate

import (
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/schedule"
)

// pass runs one pass of a server: writers get an event at its end, and pieces
// of prompts are read between their steps, those of other servers' requests
// first and newer ones before older ones.
func (p *play) pass(now time.Time, s *server) {
	s.busy = len(s.writers) > 0 || len(s.pieces) > 0
	if !s.busy {
		return
	}
	engine := s.engine
	duration := time.Duration(0)
	if len(s.writers) > 0 {
		tokens := 0
		for _, c := range s.writers {
			tokens += c.context
		}
		step := engine.StepTime + time.Duration(len(s.writers))*engine.StepTimePerSequence + time.Duration(tokens)*engine.StepTimePerContextToken
		duration = time.Duration(engine.StepsPerPass) * step
	}
	budget := float64(engine.StepsPerPass * engine.ChunkTokens)
	var done []*piece
	for _, helpers := range []bool{true, false} {
		for _, one := range slices.Backward(s.pieces) {
			if one.helper != helpers || budget <= 0 {
				continue
			}
			read := min(budget, one.tokens)
			budget -= read
			one.tokens -= read
			duration += time.Duration(read * float64(one.perToken))
			if one.tokens <= 0 {
				done = append(done, one)
			}
		}
	}
	writers := slices.Clone(s.writers)
	if len(writers) == 0 {
		duration += time.Duration(engine.StepsPerPass) * engine.StepTime / 4
	}
	p.at(now.Add(duration), func(now time.Time) { p.endPass(now, s, writers, done) })
}

func (p *play) endPass(now time.Time, s *server, writers []*call, done []*piece) {
	for _, c := range writers {
		p.event(now, s, c)
	}
	for _, one := range done {
		s.pieces = slices.DeleteFunc(s.pieces, func(other *piece) bool { return other == one })
		c := one.call
		c.parts--
		if c.parts > 0 || c.ended {
			continue
		}
		c.first.writers = append(c.first.writers, c)
		if c.first == s && !one.helper {
			p.event(now, s, c) // the first tokens come in the pass that read the end
		} else if !c.first.busy {
			p.pass(now, c.first)
		}
	}
	p.pass(now, s)
}

// event gives a writer its next event and ends it after the last.
func (p *play) event(now time.Time, s *server, c *call) {
	if c.ended {
		return
	}
	seen := now.Add(2 * oneWay)
	if !c.begun {
		c.begun = true
		c.harmed = seen.Sub(c.arrived) > c.kind.TargetLatency
		if seen.Sub(c.arrived) > patience(c.kind) {
			p.end(now, s, c, false)
			return
		}
		p.at(now.Add(2*oneWay), func(now time.Time) {
			c.desk.MarkStarted(now, c.ask.ID)
			p.decide(now, c.desk)
		})
	} else if seen.Sub(c.lastAt) > c.kind.MaxGap {
		c.harmed = true
	}
	c.lastAt = seen
	c.written++
	if c.written >= c.events {
		p.end(now, s, c, true)
	}
}

func (p *play) end(now time.Time, s *server, c *call, whole bool) {
	c.ended = true
	s.writers = slices.DeleteFunc(s.writers, func(other *call) bool { return other == c })
	for _, tally := range p.tallies(c) {
		switch {
		case !whole:
			tally.Lost++
			if !c.offered {
				tally.WaitPenalty += c.owed * c.held(now)
			}
		case c.harmed:
			tally.Late++
			tally.EarnedCredit += c.late
		default:
			tally.OnTime++
			tally.EarnedCredit += c.owed
		}
	}
	p.at(now.Add(2*oneWay), func(now time.Time) {
		c.desk.Finish(now, c.ask.ID, schedule.OutcomeDone)
		p.decide(now, c.desk)
	})
}
