package consensus

// memoryLog holds the log entries that are not compacted, and the indexes up to
// which the log is synced, committed and applied.
type memoryLog struct {
	// offset is the index of the last compacted entry; offsetTerm is its term.
	offset     uint64
	offsetTerm uint64
	// entries are those from index offset+1 on.
	entries []Entry
	// stable is the index of the last entry that is synced at this member.
	stable uint64
	// commit is the commit index; it never falls.
	commit uint64
	// applied is the index of the last entry handed out for applying.
	applied uint64
}

func (l *memoryLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the entry is
// compacted or beyond the end of the log.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	known, found := l.term(index)
	return found && known == term
}

// isUpToDate reports whether a log that ends with an entry of the given index and
// term is at least as up to date as this one. Votes require it of a candidate, so
// that a new leader has all committed entries.
func (l *memoryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.lastIndex()
}

// slice returns the entries in the range from..to, limited to maxBytes but at
// least one. It returns nil if the range is empty or begins with a compacted
// entry.
func (l *memoryLog) slice(from, to uint64, maxBytes int) []Entry {
	to = min(to, l.lastIndex())
	if from > to || from <= l.offset {
		return nil
	}
	entries := l.entries[from-l.offset-1 : to-l.offset]
	size := 0
	for i := range entries {
		size += entries[i].size()
		if size > maxBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// append adds entries, whose indexes must follow the end of the log.
func (l *memoryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on.
func (l *memoryLog) truncate(index uint64) {
	keep := index - l.offset - 1
	l.entries = append([]Entry(nil), l.entries[:keep]...)
	l.stable = min(l.stable, index-1)
}

// compact removes the entries up to index, which must be in the log.
func (l *memoryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset = index
	l.offsetTerm = term
}

// reset replaces the log by a snapshot that ends with the entry at index. The
// applied index stays until the snapshot is synced.
func (l *memoryLog) reset(index, term uint64) {
	*l = memoryLog{offset: index, offsetTerm: term, stable: index, commit: index, applied: l.applied}
}

// conflict returns the last index at which this log may still agree with that of
// a leader whose entry at index it does not match: the entry before the first one
// of the term at index, or the end of a shorter log. So the leader skips a whole
// term at a time.
func (l *memoryLog) conflict(index uint64) uint64 {
	term, found := l.term(index)
	if !found {
		return l.lastIndex()
	}
	for index > l.offset && index > l.commit {
		prevTerm, _ := l.term(index - 1)
		if prevTerm != term {
			break
		}
		index--
	}
	return max(index, 1) - 1
}
