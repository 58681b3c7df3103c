package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a subject with evidence.
type suspect struct {
	subject Subject
	// outline is that of a whole request.
	outline Outline
	// crashes are those that count, the oldest first: the subject was not answered within
	// soundFor before them, or since.
	crashes []Crash
	soundAt time.Time
	// answeredAt is when this VM last saw an answer to a request with the outline before
	// the first crash, zero if unknown.
	answeredAt time.Time
	// usedAt is the time of the last crash, also if this VM learned of it later, or when the quarantine of a part last
	// stopped a request.
	usedAt time.Time
	// reportedSoundAt is the value of soundAt that was last reported.
	reportedSoundAt time.Time
}

// isHarmful reports whether enough different servers crashed to quarantine the subject.
func (s *suspect) isHarmful(now time.Time) bool {
	if s.servers() < minCrashes {
		return false
	}
	if s.subject.IsWholeRequest() {
		first, last := s.crashes[0].At, s.crashes[len(s.crashes)-1].At
		if last.Sub(first) >= minCrashSpan {
			return now.Sub(last) <= retention
		}
		return now.Sub(last) <= shortQuarantine && first.Sub(s.soundAt) > answeredFor && first.Sub(s.answeredAt) > answeredFor
	}
	requests := map[uint64]bool{}
	for _, crash := range s.crashes {
		requests[crash.Request] = true
	}
	return len(requests) >= minCrashes
}

// servers returns the number of different servers that crashed.
func (s *suspect) servers() int {
	count := 0
	for i, crash := range s.crashes {
		if !slices.ContainsFunc(s.crashes[:i], func(earlier Crash) bool { return earlier.Server == crash.Server }) {
			count++
		}
	}
	return count
}

// lifetime returns how long the suspect is kept after usedAt.
func (s *suspect) lifetime() time.Duration {
	if s.subject.IsWholeRequest() {
		return 2 * retention
	}
	return retention
}

// explains reports whether more servers crashed under s than under other, and all that
// crashed under other crashed under s, too. Of the last ones, the crash under s may not be
// known yet.
func (s *suspect) explains(other *suspect, now time.Time) bool {
	if s.servers() <= other.servers() {
		return false
	}
	shared := 0
	for _, crash := range other.crashes {
		switch {
		case slices.ContainsFunc(s.crashes, func(own Crash) bool { return own.Server == crash.Server }):
			shared++
		case now.Sub(crash.At) > exchangeTime:
			return false
		}
	}
	return shared > 0
}

// counts reports whether a crash is evidence against the subject.
func (s *suspect) counts(crash Crash) bool {
	soundFor := partSoundFor
	if s.subject.IsWholeRequest() {
		soundFor = requestSoundFor
	}
	return s.soundAt.IsZero() || crash.At.Sub(s.soundAt) > soundFor
}

// setSound sets the time at which the subject was last answered, and returns whether this
// outweighs crashes.
func (s *suspect) setSound(at time.Time) bool {
	s.soundAt = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(crash Crash) bool { return !s.counts(crash) })
	return len(s.crashes) < before
}

// addCrash adds a crash that counts, in place of the oldest if there are too many, and
// returns whether it has. Of several crashes of one server under the same request only the
// first is kept.
func (s *suspect) addCrash(crash Crash) bool {
	if !s.counts(crash) {
		return false
	}
	known := slices.IndexFunc(s.crashes, func(known Crash) bool {
		return known.Server == crash.Server && known.Request == crash.Request
	})
	switch {
	case known >= 0 && !crash.At.Before(s.crashes[known].At):
		return false
	case known >= 0:
		s.crashes = slices.Delete(s.crashes, known, known+1)
	case len(s.crashes) >= maxCrashesPerSubject && compareCrashes(crash, s.crashes[0]) <= 0:
		return false
	case len(s.crashes) >= maxCrashesPerSubject:
		s.crashes = s.crashes[1:]
	}
	at, _ := slices.BinarySearchFunc(s.crashes, crash, compareCrashes)
	s.crashes = slices.Insert(s.crashes, at, crash)
	return true
}

// compareCrashes orders crashes by time, and those of the same time in the same way on all
// VMs.
func compareCrashes(a, b Crash) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Request, b.Request))
}
