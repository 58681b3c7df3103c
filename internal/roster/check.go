package roster

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"
)

const (
	// MaxNameBytes limits the id, the service and the zone of a server.
	MaxNameBytes = 256
	// maxSlots limits the slots of a server.
	maxSlots = 1 << 16
	// maxStartAhead limits how far the announced start of a server may lie in the future, by the clock of this VM. It
	// exceeds any difference between clocks.
	maxStartAhead = 365 * 24 * time.Hour
	// maxWarmUp limits the announced rest of the warm-up.
	maxWarmUp = 24 * time.Hour
)

// ErrInvalid is wrapped by the errors of Check.
var ErrInvalid = errors.New("invalid announcement")

// Check returns an error, with the value that caused it, for an announcement that names no server to use: VMs exchange
// announcements in messages that hold valid UTF-8 only and have a maximum size, the id is sent in a header, and the
// numbers enter the calculations of the scheduler.
func (s *Server) Check(now time.Time) error {
	if s.ID == "" || len(s.ID) > MaxNameBytes || !isVisibleASCII(s.ID) {
		return fmt.Errorf("%w: id %s", ErrInvalid, quoted(s.ID))
	}
	if s.State == StateGone && s.Address == "" {
		return s.checkTimes(now) // all that is known of the server is that it has left
	}
	if s.Service == "" || len(s.Service) > MaxNameBytes || !utf8.ValidString(s.Service) {
		return fmt.Errorf("%w: service %s", ErrInvalid, quoted(s.Service))
	}
	if len(s.Zone) > MaxNameBytes || !utf8.ValidString(s.Zone) {
		return fmt.Errorf("%w: zone %s", ErrInvalid, quoted(s.Zone))
	}
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return fmt.Errorf("%w: address %s", ErrInvalid, quoted(s.Address))
	}
	if s.State < StateReady || s.State > StateGone {
		return fmt.Errorf("%w: state %d", ErrInvalid, s.State)
	}
	if s.Slots <= 0 || s.Slots > maxSlots {
		return fmt.Errorf("%w: %d slots", ErrInvalid, s.Slots)
	}
	return s.checkTimes(now)
}

func (s *Server) checkTimes(now time.Time) error {
	if s.StartedAt.After(now.Add(maxStartAhead)) {
		return fmt.Errorf("%w: started at %d ms", ErrInvalid, s.StartedAt.UnixMilli())
	}
	if s.ColdUntil.Sub(now) > maxWarmUp {
		return fmt.Errorf("%w: warm-up of %v left", ErrInvalid, s.ColdUntil.Sub(now))
	}
	return nil
}

func isVisibleASCII(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// quoted returns text in quotes, cut to MaxNameBytes, for errors.
func quoted(text string) string {
	if len(text) > MaxNameBytes {
		return fmt.Sprintf("%q... of %d bytes", text[:MaxNameBytes], len(text))
	}
	return fmt.Sprintf("%q", text)
}
