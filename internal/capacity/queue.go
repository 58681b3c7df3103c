package capacity

import "slices"

// queue holds waiting requests: higher priority first, then the one that has
// to start earliest. Its length is bounded by the caller.
type queue struct {
	requests []Request
}

// takesPrecedence orders two waiting requests.
func takesPrecedence(a, b Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.LatestStart.Before(b.LatestStart)
}

func (q *queue) len() int { return len(q.requests) }

func (q *queue) last() Request { return q.requests[len(q.requests)-1] }

// add inserts request behind its equals. A request that waits already keeps
// its place.
func (q *queue) add(request Request) {
	if q.find(request.Attempt) >= 0 {
		return
	}
	at := len(q.requests)
	for at > 0 && takesPrecedence(request, q.requests[at-1]) {
		at--
	}
	q.requests = slices.Insert(q.requests, at, request)
}

func (q *queue) find(attempt string) int {
	return slices.IndexFunc(q.requests, func(r Request) bool { return r.Attempt == attempt })
}

func (q *queue) remove(attempt string) {
	if at := q.find(attempt); at >= 0 {
		q.requests = slices.Delete(q.requests, at, at+1)
	}
}
