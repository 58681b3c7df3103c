package replica

import "godwityoke.example/godwityoke/internal/consensus/consensuspb"

// streamHeader holds the last group, sender and receiver of the messages on a
// stream. A message that repeats a value carries 0 in its place. The sender and the
// receiver of a stream each keep a streamHeader and see the messages in the same
// order, so both hold the same values.
type streamHeader struct {
	group, from, to uint64
}

// strip clears the fields that equal those of the previous message on the stream.
func (h *streamHeader) strip(m *consensuspb.Message) {
	m.Group = stripField(&h.group, m.GetGroup())
	m.From = stripField(&h.from, m.GetFrom())
	m.To = stripField(&h.to, m.GetTo())
}

// restore fills in the fields that strip cleared at the sender.
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
