// Package quarantine recognises what crashes backend servers: parts of prompts, and whole
// requests that come again. Either crashes each server that begins to run it; each entry VM
// sees only the crashes of its own requests. So all VMs exchange evidence: the crashes under
// a part or a whole request, and that servers have answered it. Each VM decides on the
// evidence that it knows, also while it is cut off from the others.
//
// Tracker is a state machine without I/O; the time is an argument. Evidence is merged as
// a set, so that it may arrive repeatedly, in any order and over any path.
package quarantine

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of different servers that must have crashed under a subject
	// before it is quarantined. A server that several VMs saw crash counts once. For a part,
	// as many different requests must have been sent.
	minCrashes = 3
	// minCrashSpan is the shortest time from the first to the last crash under a whole
	// request that was answered lately before it is quarantined: servers that fail together
	// crash at the same time under copies of a sound request, which is answered soon after.
	minCrashSpan = time.Second
	// answeredFor is how long a request counts as answered lately.
	answeredFor = 30 * time.Second
	// shortQuarantine is how long a whole request is quarantined after the last crash if
	// the crashes don't span minCrashSpan.
	shortQuarantine = time.Minute
	// exchangeTime is the time within which all VMs that are connected know of a crash.
	exchangeTime = time.Second
	// partSoundFor is how long a part counts as sound after a server has answered a prompt
	// with it. Crashes within that time have another cause.
	partSoundFor = 30 * time.Second
	// requestSoundFor is the same for a whole request: the time within which VMs may
	// disagree on the order of an answer and a crash.
	requestSoundFor = 500 * time.Millisecond
	// retention is how long a part is kept after the last crash, and its quarantine after
	// the last request that it has stopped. The quarantine of a whole request lasts so long
	// after the last crash; then its evidence is kept for another retention, and one more
	// crash renews the quarantine.
	retention = 10 * time.Minute
	// announcementDelay is the time after a crash from which an announcement of the server shows
	// that it has not crashed. Earlier ones may have been on their way.
	announcementDelay = 1500 * time.Millisecond
	// maxSuspects bounds the subjects with evidence, maxCrashesPerSubject the crashes that
	// are kept for each.
	maxSuspects          = 4096
	maxCrashesPerSubject = 32
	// maxSound bounds each of the two generations of recently answered parts, and of
	// recently answered requests.
	maxSound = 4096
	// soundReportInterval is the shortest interval between two reports that a suspect was
	// answered, unless an answer has outweighed crashes.
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

// NewServerRun returns the run of the server id that began at startedAt, zero if unknown. VMs
// tell each other the start in milliseconds.
func NewServerRun(id string, startedAt time.Time) ServerRun {
	startedAt = startedAt.Truncate(time.Millisecond)
	return ServerRun(hash(id + startedAt.UTC().Format(time.RFC3339Nano)))
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never returns an error
	return h.Sum64()
}

// Crash is the crash of a server before it had answered a request.
type Crash struct {
	Server ServerRun
	// Request is the Subject of the request if the crash is evidence against a part, and
	// its Outline if the crash is evidence against the whole request.
	Request uint64
	At      time.Time
}

// Evidence is what is known of one subject.
type Evidence struct {
	Subject Subject
	Crashes []Crash
	// SoundAt is when a server last answered the whole request or a prompt with the part,
	// zero if unknown.
	SoundAt time.Time
}

// Tracker holds the evidence that one VM knows. It is not safe for concurrent use.
type Tracker struct {
	suspects map[Subject]*suspect
	// outlines counts the suspects with each outline of a whole request.
	outlines map[Outline]int
	// changed holds the subjects whose evidence changed since the last TakeChanges.
	changed map[Subject]bool
	// sound holds when parts were last answered, answered the same of outlines.
	sound    answers[Subject]
	answered answers[Outline]
	// announced holds when each run of a server last announced itself.
	announced map[ServerRun]time.Time
	// evicted counts the suspects that were dropped to stay within maxSuspects.
	evicted int
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: map[Subject]*suspect{}, outlines: map[Outline]int{}, changed: map[Subject]bool{},
		announced: map[ServerRun]time.Time{},
	}
}

// RecordCrash records that a server crashed before it had answered a request whose
// prompt has the given parts. Parts that were answered lately are not suspected.
func (t *Tracker) RecordCrash(now time.Time, server ServerRun, request *Request, parts []Subject) {
	crash := Crash{Server: server, Request: uint64(request.outline), At: now}
	t.merge(now, Evidence{Subject: request.Subject(), Crashes: []Crash{crash}})
	for _, part := range parts {
		if t.suspects[part] == nil && now.Sub(t.sound.last(part)) <= partSoundFor {
			continue
		}
		crash.Request = uint64(request.Subject())
		t.merge(now, Evidence{Subject: part, Crashes: []Crash{crash}})
	}
	t.limitSuspects()
}

// RecordSound records that a server has answered a request whose prompt has the given
// parts.
func (t *Tracker) RecordSound(now time.Time, request *Request, parts []Subject) {
	for _, part := range parts {
		t.sound.add(now, part)
		t.setSound(part, now)
	}
	t.answered.add(now, request.outline)
	if t.mayKnow(request) {
		t.setSound(request.Subject(), now)
	}
}

// setSound applies an answer that this VM has seen.
func (t *Tracker) setSound(subject Subject, now time.Time) {
	s := t.suspects[subject]
	if s == nil || !now.After(s.soundAt) {
		return
	}
	if s.setSound(now) || now.Sub(s.reportedSoundAt) >= soundReportInterval {
		s.reportedSoundAt = now
		t.changed[subject] = true
	}
}

// mayKnow reports whether there is evidence on a request with the same outline. If not,
// the Subject of the request need not be computed.
func (t *Tracker) mayKnow(request *Request) bool { return t.outlines[request.outline] > 0 }

// Merge adds evidence of another VM.
func (t *Tracker) Merge(now time.Time, evidence []Evidence) {
	for _, e := range evidence {
		t.merge(now, e)
	}
	t.limitSuspects()
}

func (t *Tracker) merge(now time.Time, e Evidence) {
	s := t.suspects[e.Subject]
	if s == nil {
		if len(e.Crashes) == 0 {
			return // only evidence on suspects is kept
		}
		s = &suspect{subject: e.Subject, usedAt: slices.MaxFunc(e.Crashes, compareCrashes).At}
		t.suspects[e.Subject] = s
		if e.Subject.IsWholeRequest() {
			s.outline = Outline(e.Crashes[0].Request)
			s.answeredAt = t.answered.last(s.outline)
			t.outlines[s.outline]++
		}
	}
	soundAt := e.SoundAt
	if own := t.sound.last(e.Subject); own.After(soundAt) {
		soundAt = own
	}
	if soundAt.After(s.soundAt) {
		isDue := soundAt.Sub(s.soundAt) >= soundReportInterval
		if s.setSound(soundAt) || isDue {
			s.reportedSoundAt = soundAt
			t.changed[e.Subject] = true
		}
	}
	for _, crash := range e.Crashes {
		if !s.counts(crash) && e.SoundAt.Before(s.soundAt) {
			t.changed[e.Subject] = true // the sender does not know of the answer
		}
		if now.Sub(crash.At) <= s.lifetime() && !t.isRefuted(crash) && s.addCrash(crash) {
			if crash.At.After(s.usedAt) {
				s.usedAt = crash.At
			}
			t.changed[e.Subject] = true
		}
	}
}

// RecordAnnouncements records when runs of servers last announced themselves. A run that does
// so after a crash has not crashed: its connection was lost for another reason. Each VM learns
// of announcements by itself, so that this is not part of the evidence.
func (t *Tracker) RecordAnnouncements(announced map[ServerRun]time.Time) {
	for run, at := range announced {
		if at.After(t.announced[run]) {
			t.announced[run] = at
		}
	}
	for _, s := range t.suspects {
		before := len(s.crashes)
		s.crashes = slices.DeleteFunc(s.crashes, t.isRefuted)
		if len(s.crashes) == 0 && before > 0 {
			t.drop(s)
		}
	}
}

// isRefuted reports whether the server has announced itself since the crash.
func (t *Tracker) isRefuted(crash Crash) bool {
	at, found := t.announced[crash.Server]
	return found && at.Sub(crash.At) >= announcementDelay
}

// limitSuspects drops an eighth of the suspects if there are too many: first those with the
// fewest crashed servers, and of these the least recently used.
func (t *Tracker) limitSuspects() {
	if len(t.suspects) <= maxSuspects {
		return
	}
	excess := len(t.suspects) - maxSuspects*7/8
	type candidate struct {
		*suspect
		crashed int
	}
	candidates := make([]candidate, 0, len(t.suspects))
	for _, s := range t.suspects {
		candidates = append(candidates, candidate{s, s.servers()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashed, b.crashed), a.usedAt.Compare(b.usedAt), cmp.Compare(a.subject, b.subject))
	})
	for _, c := range candidates[:excess] {
		t.drop(c.suspect)
	}
	t.evicted += excess
}

func (t *Tracker) drop(s *suspect) {
	delete(t.suspects, s.subject)
	delete(t.changed, s.subject)
	if !s.subject.IsWholeRequest() {
		return
	}
	if t.outlines[s.outline]--; t.outlines[s.outline] == 0 {
		delete(t.outlines, s.outline)
	}
}

// Stats returns the number of suspects, and of those dropped for want of space so far.
func (t *Tracker) Stats() (suspects, evicted int) { return len(t.suspects), t.evicted }

// CrashedServers returns the largest number of servers that crashed under the whole
// request or one of the parts, without subjects whose crashes another one explains.
func (t *Tracker) CrashedServers(now time.Time, request *Request, parts []Subject) int {
	most := 0
	for _, s := range t.find(request, parts) {
		if servers := s.servers(); servers > most && (servers == 1 || !t.isExplained(now, s)) {
			most = servers
		}
	}
	return most
}

// isQuarantined reports whether requests with the subject are refused.
func (t *Tracker) isQuarantined(now time.Time, s *suspect) bool {
	return s.isHarmful(now) && !t.isExplained(now, s)
}

// isExplained reports whether all servers that crashed under the subject, and more, crashed
// under one that is harmful. A server that crashes makes suspects of all requests that it
// ran.
func (t *Tracker) isExplained(now time.Time, s *suspect) bool {
	for _, other := range t.suspects {
		if other != s && other.isHarmful(now) && other.explains(s, now) {
			return true
		}
	}
	return false
}

// find returns the suspects among the whole request and the parts.
func (t *Tracker) find(request *Request, parts []Subject) []*suspect {
	if len(t.suspects) == 0 {
		return nil
	}
	var found []*suspect
	if t.mayKnow(request) {
		if s := t.suspects[request.Subject()]; s != nil {
			found = append(found, s)
		}
	}
	for _, part := range parts {
		if s := t.suspects[part]; s != nil {
			found = append(found, s)
		}
	}
	return found
}

// Expire drops the suspects that were not used within their lifetime, and whole requests
// whose answer has outweighed all crashes.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.announced, func(_ ServerRun, at time.Time) bool { return now.Sub(at) > 2*retention })
	for _, s := range t.suspects {
		isCleared := s.subject.IsWholeRequest() && len(s.crashes) == 0 && now.Sub(s.soundAt) > answeredFor
		if isCleared || now.Sub(s.usedAt) > s.lifetime() {
			t.drop(s)
		}
	}
}

// Quarantined returns the first quarantined subject and true if the whole request or one of
// the parts is one. The quarantine of a part lasts for another retention from now.
func (t *Tracker) Quarantined(now time.Time, request *Request, parts []Subject) (Subject, bool) {
	for _, s := range t.find(request, parts) {
		if !t.isQuarantined(now, s) {
			continue
		}
		if !s.subject.IsWholeRequest() {
			s.usedAt = now
		}
		return s.subject, true
	}
	return 0, false
}

// Suspected reports whether several servers have crashed under the whole request or one of
// the parts, so that a retry of the request may crash another one.
func (t *Tracker) Suspected(now time.Time, request *Request, parts []Subject) bool {
	return t.CrashedServers(now, request, parts) > 1
}

// TakeChanges returns the evidence on the subjects that changed since the last call.
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

// AllQuarantined returns the evidence on the quarantined subjects.
func (t *Tracker) AllQuarantined(now time.Time) []Evidence {
	var harmful []*suspect
	for _, s := range t.suspects {
		if s.isHarmful(now) {
			harmful = append(harmful, s)
		}
	}
	var subjects []Subject
	for _, s := range harmful {
		if !slices.ContainsFunc(harmful, func(other *suspect) bool { return other != s && other.explains(s, now) }) {
			subjects = append(subjects, s.subject)
		}
	}
	slices.Sort(subjects)
	return t.evidence(subjects)
}

func (t *Tracker) evidence(subjects []Subject) []Evidence {
	list := make([]Evidence, 0, len(subjects))
	for _, subject := range subjects {
		s := t.suspects[subject]
		list = append(list, Evidence{Subject: subject, Crashes: slices.Clone(s.crashes), SoundAt: s.soundAt})
	}
	return list
}
