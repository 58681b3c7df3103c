package replica

import "godwityoke.example/godwityoke/internal/consensus/consensuspb"

// streamHeader holds what all messages of a stream have in common, so that it
// travels once. Each end of a stream keeps one.
type streamHeader struct {
	group, from, to uint64
}

// strip removes what the other end already knows.
func (h *streamHeader) strip(m *consensuspb.Message) {
	m.Group = stripField(&h.group, m.GetGroup())
	m.From = stripField(&h.from, m.GetFrom())
	m.To = stripField(&h.to, m.GetTo())
}

// restore is the reverse of strip.
func (h *streamHeader) restore(m *consensuspb.Message) {
	m.Group = restoreField(&h.group, m.GetGroup())
	m.From = restoreField(&h.from, m.GetFrom())
	m.To = restoreField(&h.to, m.GetTo())
}

func stripField(known *uint64, value uint64) uint64 {
	if value == *known {
		return 0
	}
	*known = value
	return value
}

func restoreField(known *uint64, value uint64) uint64 {
	if value != 0 {
		*known = value
	}
	return *known
}
