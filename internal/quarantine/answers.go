package quarantine

import "time"

// answers holds when something was last answered, in two generations of at most maxSound
// entries. The zero value is empty.
type answers[K comparable] struct {
	current, older map[K]time.Time
	rotatedAt      time.Time
}

// add records an answer. Entries are kept for at least answeredFor unless there are more
// than maxSound.
func (a *answers[K]) add(now time.Time, key K) {
	if a.current == nil || now.Sub(a.rotatedAt) > answeredFor || len(a.current) >= maxSound {
		a.current, a.older, a.rotatedAt = map[K]time.Time{}, a.current, now
	}
	a.current[key] = now
}

// last returns the time of the last answer, zero if none is known.
func (a *answers[K]) last(key K) time.Time {
	if at, found := a.current[key]; found {
		return at
	}
	return a.older[key]
}
