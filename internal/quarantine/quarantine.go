// Package quarantine recognises parts of prompts that crash backend servers. A harmful
// part crashes each server that begins an answer to a prompt with it; each entry VM sees
// only the crashes of its own requests. So all VMs exchange evidence: the crashes under
// prompts with a part, and that servers have answered prompts with it. Each VM decides
// on the evidence that it knows, also while it is cut off from the others.
//
// Tracker is a state machine without I/O; the time is an argument. Evidence is merged as
// a set, so that it may arrive repeatedly, in any order and over any path.
package quarantine

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of different servers that must have crashed under
	// different requests with a part before the part is quarantined. A request counts
	// once, also if it was retried, and so does a server that several VMs saw crash.
	minCrashes = 3
	// soundFor is how long a part counts as sound after a server has answered a prompt
	// with it. Crashes within that time have another cause.
	soundFor = 30 * time.Second
	// retention is how long a part is kept after the last crash, and a quarantine after
	// the last request that it has stopped.
	retention = 10 * time.Minute
	// maxSuspects bounds the parts with evidence, maxCrashesPerPart the crashes that are
	// kept for each.
	maxSuspects       = 512
	maxCrashesPerPart = 8
	// maxSound bounds each of the two generations of recently answered parts.
	maxSound = 4096
	// soundReportInterval is the shortest interval between two reports that a suspected
	// part was answered.
	soundReportInterval = time.Second
)

// Subject identifies what may crash servers: a part of a prompt that other prompts may
// share, or a whole request.
type Subject uint64

// wholeRequest is the bit that whole requests have and parts of prompts have not.
const wholeRequest Subject = 1 << 63

// NewPart returns the part of prompts with the given name.
func NewPart(name string) Subject { return Subject(hash(name)) &^ wholeRequest }

// IsWholeRequest reports whether the subject is a whole request.
func (s Subject) IsWholeRequest() bool { return s&wholeRequest != 0 }

// RequestID identifies a request of a caller by its id.
type RequestID uint64

// NewRequestID returns the request with the given id.
func NewRequestID(id string) RequestID { return RequestID(hash(id)) }

// String returns the kind of the subject and its identity in hexadecimal digits.
func (s Subject) String() string {
	if s.IsWholeRequest() {
		return fmt.Sprintf("request %016x", uint64(s))
	}
	return fmt.Sprintf("part %016x", uint64(s))
}

// ServerRun identifies one run of a backend server: a server that has crashed and
// started again is another one.
type ServerRun uint64

// NewServerRun returns the run of the server id that began at startedAt, zero if unknown.
func NewServerRun(id string, startedAt time.Time) ServerRun {
	return ServerRun(hash(id + startedAt.UTC().Format(time.RFC3339Nano)))
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never returns an error
	return h.Sum64()
}

// Crash is the crash of a server before it had answered a request.
type Crash struct {
	Server  ServerRun
	Request RequestID
	At      time.Time
}

// Evidence is what is known of one part.
type Evidence struct {
	Subject Subject
	Crashes []Crash
	// SoundAt is when a server last answered a prompt with the part, zero if unknown.
	SoundAt time.Time
}

// suspect is a part with evidence.
type suspect struct {
	// crashes are those that count: no other prompt with the part was answered within
	// soundFor before them, or since.
	crashes []Crash
	soundAt time.Time
	// usedAt is when a crash was added or the quarantine last stopped a request.
	usedAt time.Time
	// reportedSoundAt is the value of soundAt that was last reported.
	reportedSoundAt time.Time
}

// isHarmful reports whether enough different servers crashed under different requests.
func (s *suspect) isHarmful() bool {
	requests := map[RequestID]bool{}
	for _, crash := range s.crashes {
		requests[crash.Request] = true
	}
	return s.servers() >= minCrashes && len(requests) >= minCrashes
}

// servers returns the number of different servers that crashed.
func (s *suspect) servers() int {
	servers := map[ServerRun]bool{}
	for _, crash := range s.crashes {
		servers[crash.Server] = true
	}
	return len(servers)
}

// counts reports whether a crash is evidence against the part.
func (s *suspect) counts(crash Crash) bool {
	return s.soundAt.IsZero() || crash.At.Sub(s.soundAt) > soundFor
}

// setSound sets the time at which a prompt with the part was last answered.
func (s *suspect) setSound(at time.Time) {
	s.soundAt = at
	s.crashes = slices.DeleteFunc(s.crashes, func(crash Crash) bool { return !s.counts(crash) })
}

// Tracker holds the evidence that one VM knows. It is not safe for concurrent use.
type Tracker struct {
	suspects map[Subject]*suspect
	// changed holds the parts whose evidence changed since the last TakeChanges.
	changed map[Subject]bool
	// sound and olderSound hold when parts were last answered, in two generations.
	sound, olderSound map[Subject]time.Time
	rotatedAt         time.Time
	// evicted counts the suspects that were dropped to stay within maxSuspects.
	evicted int
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: map[Subject]*suspect{}, changed: map[Subject]bool{}, sound: map[Subject]time.Time{}, olderSound: map[Subject]time.Time{},
	}
}

// RecordCrash records that a server crashed before it had answered a request whose
// prompt has the given parts. Parts that were answered lately are not suspected.
func (t *Tracker) RecordCrash(now time.Time, server ServerRun, request RequestID, parts []Subject) {
	for _, part := range parts {
		if t.suspects[part] == nil && now.Sub(t.lastSound(part)) <= soundFor {
			continue
		}
		t.merge(now, Evidence{Subject: part, Crashes: []Crash{{Server: server, Request: request, At: now}}})
	}
}

// RecordSound records that a server has answered a prompt with the given parts.
func (t *Tracker) RecordSound(now time.Time, parts []Subject) {
	if now.Sub(t.rotatedAt) > soundFor || len(t.sound) >= maxSound {
		t.sound, t.olderSound, t.rotatedAt = make(map[Subject]time.Time, len(parts)), t.sound, now
	}
	for _, part := range parts {
		t.sound[part] = now
		if s := t.suspects[part]; s != nil && now.After(s.soundAt) {
			s.setSound(now)
			if now.Sub(s.reportedSoundAt) >= soundReportInterval {
				s.reportedSoundAt = now
				t.changed[part] = true
			}
		}
	}
}

func (t *Tracker) lastSound(part Subject) time.Time {
	if at, found := t.sound[part]; found {
		return at
	}
	return t.olderSound[part]
}

// Merge adds evidence of another VM.
func (t *Tracker) Merge(now time.Time, evidence []Evidence) {
	for _, e := range evidence {
		t.merge(now, e)
	}
}

func (t *Tracker) merge(now time.Time, e Evidence) {
	s := t.suspects[e.Subject]
	if s == nil {
		if len(e.Crashes) == 0 {
			return // only evidence on suspected parts is kept
		}
		s = &suspect{usedAt: now}
		t.suspects[e.Subject] = s
	}
	soundAt := e.SoundAt
	if own := t.lastSound(e.Subject); own.After(soundAt) {
		soundAt = own
	}
	if soundAt.Sub(s.soundAt) >= soundReportInterval {
		s.setSound(soundAt)
		s.reportedSoundAt = soundAt
		t.changed[e.Subject] = true
	}
	for _, crash := range e.Crashes {
		if now.Sub(crash.At) > retention || len(s.crashes) >= maxCrashesPerPart || !s.counts(crash) || s.hasCrash(crash) {
			continue
		}
		s.crashes = append(s.crashes, crash)
		s.usedAt = now
		t.changed[e.Subject] = true
	}
	t.limitSuspects()
}

func (s *suspect) hasCrash(crash Crash) bool {
	return slices.ContainsFunc(s.crashes, func(known Crash) bool {
		return known.Server == crash.Server && known.Request == crash.Request
	})
}

// limitSuspects drops the suspect that was least recently used while there are too many.
// Quarantined parts are dropped last.
func (t *Tracker) limitSuspects() {
	for len(t.suspects) > maxSuspects {
		parts := slices.Collect(maps.Keys(t.suspects))
		dropped := slices.MinFunc(parts, func(a, b Subject) int {
			first, second := t.suspects[a], t.suspects[b]
			switch {
			case first.isHarmful() && !second.isHarmful():
				return 1
			case second.isHarmful() && !first.isHarmful():
				return -1
			}
			return first.usedAt.Compare(second.usedAt)
		})
		delete(t.suspects, dropped)
		delete(t.changed, dropped)
		t.evicted++
	}
}

// Stats returns the number of suspects, and of those dropped for want of space so far.
func (t *Tracker) Stats() (suspects, evicted int) { return len(t.suspects), t.evicted }

// CrashedServers returns the largest number of servers that crashed under one of the
// subjects.
func (t *Tracker) CrashedServers(subjects []Subject) int {
	most := 0
	for _, subject := range subjects {
		if s := t.suspects[subject]; s != nil {
			most = max(most, s.servers())
		}
	}
	return most
}

// Expire drops the suspects that were not used within retention.
func (t *Tracker) Expire(now time.Time) {
	for part, s := range t.suspects {
		if now.Sub(s.usedAt) > retention {
			delete(t.suspects, part)
			delete(t.changed, part)
		}
	}
}

// Quarantined returns the first quarantined part and true if there is one among parts.
// The quarantine lasts for another retention from now.
func (t *Tracker) Quarantined(now time.Time, parts []Subject) (Subject, bool) {
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && s.isHarmful() {
			s.usedAt = now
			return part, true
		}
	}
	return 0, false
}

// Suspected reports whether several servers have crashed under prompts with one of the
// parts, so that a retry of such a prompt may crash another one.
func (t *Tracker) Suspected(parts []Subject) bool {
	return slices.ContainsFunc(parts, func(part Subject) bool {
		s := t.suspects[part]
		return s != nil && s.servers() > 1
	})
}

// TakeChanges returns the evidence on the parts that changed since the last call.
func (t *Tracker) TakeChanges() []Evidence {
	if len(t.changed) == 0 {
		return nil
	}
	changes := t.evidence(slices.Sorted(maps.Keys(t.changed)))
	clear(t.changed)
	return changes
}

// All returns all evidence, for a VM that may know none of it.
func (t *Tracker) All() []Evidence { return t.evidence(slices.Sorted(maps.Keys(t.suspects))) }

// AllQuarantined returns the evidence on the quarantined parts.
func (t *Tracker) AllQuarantined() []Evidence {
	var parts []Subject
	for part, s := range t.suspects {
		if s.isHarmful() {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return t.evidence(parts)
}

func (t *Tracker) evidence(parts []Subject) []Evidence {
	list := make([]Evidence, 0, len(parts))
	for _, part := range parts {
		s := t.suspects[part]
		list = append(list, Evidence{Subject: part, Crashes: slices.Clone(s.crashes), SoundAt: s.soundAt})
	}
	return list
}
