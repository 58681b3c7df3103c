package fairshare

// Clone returns a copy that shares nothing with s that either of them changes, and the accounts of
// the copy by those of s.
func (s *Shares) Clone() (*Shares, map[*Account]*Account) {
	copied := New()
	copied.epoch, copied.levelsChanged = s.epoch, s.levelsChanged
	levels := map[*level]*level{}
	for name, p := range s.pools {
		q := *p
		q.levels, q.sorted = make(map[int]*level, len(p.levels)), make([]*level, len(p.sorted))
		for i, l := range p.sorted {
			m := *l
			m.pool = &q
			q.levels[l.priority], q.sorted[i], levels[l] = &m, &m, &m
		}
		copied.pools[name] = &q
	}
	accounts := make(map[*Account]*Account, len(s.accounts))
	for key, a := range s.accounts {
		b := *a
		b.level = levels[a.level]
		copied.accounts[key], accounts[a] = &b, &b
	}
	copied.evictAt, copied.ring = s.evictAt, make([]*Account, len(s.ring))
	for i, a := range s.ring {
		copied.ring[i] = accounts[a]
	}
	return copied, accounts
}
