package roster

import "time"

// coldTolerance is the delay of an announcement that is no sign of a new warm-up: a later arrival of the same countdown
// ends later by the clock of this VM.
const coldTolerance = 500 * time.Millisecond

// IsNewlyCold reports whether a server, of which applied is what is stored after an announcement, has become cold since it
// was known as known.
func IsNewlyCold(known, applied *Server) bool {
	return applied.State != StateGone && applied.ColdUntil.After(applied.LastSeen) && applied.ColdUntil.Sub(known.ColdUntil) > coldTolerance
}
