package fairshare

import (
	"container/heap"
)

// largestFirst is a heap of requests with the one of the longest server time on top.
type largestFirst []*Request

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(i, j int) bool { return h[i].ServerTime > h[j].ServerTime }
func (h largestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *largestFirst) Push(x any) { *h = append(*h, x.(*Request)) }

// Pop implements heap.Interface.
func (h *largestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// dropLate selects the late requests of each level to drop, so that the most of the others start
// before their callers leave: in the order of their deadlines, whenever one would miss its own, the one
// with the longest server time is dropped (the algorithm of Moore and Hodgson, with all servers taken as one
// of their joint speed).
func (s *Shares) dropLate(requests []Request) {
	s.keys = s.keys[:0]
	for i := range requests {
		r := &requests[i]
		r.dropped = false
		if l := r.Account.level; l.pool.contended && l.priority >= 0 && !r.Suspect && !r.Copy && r.ToTarget < 0 {
			s.keys = append(s.keys, keyOf(l, 0, 0, ascending(float64(r.ToDeadline)), i))
		}
	}
	s.keys, s.other = sortKeys(s.keys, s.other)
	s.heap = s.heap[:0]
	total := 0.0
	for k, key := range s.keys {
		if k > 0 && key>>levelShift != s.keys[k-1]>>levelShift {
			s.heap, total = s.heap[:0], 0
		}
		r := &requests[key&indexMask]
		heap.Push(&s.heap, r)
		if total += r.ServerTime; total > r.ToDeadline.Seconds()*float64(r.Account.level.pool.servers) {
			dropped := heap.Pop(&s.heap).(*Request)
			total -= dropped.ServerTime
			dropped.dropped = true
		}
	}
	// s.heap is kept for the next call. Its pointers, also those beyond its end, would keep the requests of this one in memory.
	clear(s.heap[:cap(s.heap)])
}
