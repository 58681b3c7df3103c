package roster

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestInvalidAnnouncementIsAnError(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	valid := Server{ID: "i-1", Service: "m", Address: "[fd00::1]:65535", Slots: 1 << 16, State: StateReady, StartedAt: now, Sequence: math.MaxUint64, ColdUntil: now.Add(time.Hour)}
	require.NoError(t, valid.Check(now))
	for name, spoil := range map[string]func(*Server){
		"id that is no header value": func(s *Server) { s.ID = "i\n1" },
		"service of invalid UTF-8":   func(s *Server) { s.Service = "m\xff" },
		"zone of invalid UTF-8":      func(s *Server) { s.Zone = "a\xff" },
		"port 0":                     func(s *Server) { s.Address = "10.0.0.1:0" },
		"unknown state":              func(s *Server) { s.State = 9 },
		"slots beyond 32 bits":       func(s *Server) { s.Slots = math.MaxInt },
		"start in the far future":    func(s *Server) { s.StartedAt = time.UnixMilli(math.MaxInt64) },
		"endless warm-up":            func(s *Server) { s.ColdUntil = now.Add(math.MaxInt64) },
	} {
		spoiled := valid
		spoil(&spoiled)
		require.ErrorIs(t, spoiled.Check(now), ErrInvalid, name)
	}
}
