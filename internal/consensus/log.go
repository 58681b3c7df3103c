package consensus

// memoryLog holds the entries after the last compaction, and how far they are
// synced, committed and applied.
type memoryLog struct {
	// offset is the last compacted index; offsetTerm is its term.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the last index that is synced on this member.
	stable  uint64
	commit  uint64
	applied uint64
}

func (l *memoryLog) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, false when it is compacted or
// beyond the end.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	known, found := l.term(index)
	return found && known == term
}

// upToDate tells whether a candidate's log holds at least what this one does.
func (l *memoryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// slice returns entries from index on, of at most maxBytes, but at least one.
func (l *memoryLog) slice(from, to uint64, maxBytes int) []Entry {
	to = min(to, l.last())
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

// append adds entries after the end.
func (l *memoryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on.
func (l *memoryLog) truncate(index uint64) {
	keep := index - l.offset - 1
	l.entries = append([]Entry(nil), l.entries[:keep]...)
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset = index
	l.offsetTerm = term
}

// reset replaces the whole log by a snapshot.
func (l *memoryLog) reset(index, term uint64) {
	*l = memoryLog{offset: index, offsetTerm: term, stable: index, commit: index, applied: l.applied}
}

// conflict returns the first index that may hold another term than the entry
// at index, so that a leader skips a whole term at a time.
func (l *memoryLog) conflict(index uint64) uint64 {
	term, found := l.term(index)
	if !found {
		return l.last()
	}
	for index > l.offset && index > l.commit {
		before, _ := l.term(index - 1)
		if before != term {
			break
		}
		index--
	}
	return max(index, 1) - 1
}
