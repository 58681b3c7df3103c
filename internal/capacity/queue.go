package capacity

import "slices"

// queue holds queued requests, ordered by descending priority, then by ascending
// LatestStart. The caller bounds its length.
type queue struct {
	requests []Request
}

// takesPrecedence reports whether a comes before b in the queue.
func takesPrecedence(a, b Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.LatestStart.Before(b.LatestStart)
}

func (q *queue) len() int { return len(q.requests) }

func (q *queue) last() Request { return q.requests[len(q.requests)-1] }

// add inserts request after the requests of equal precedence. It does nothing if the attempt is
// queued already.
func (q *queue) add(request Request) {
	if q.find(request.Attempt) >= 0 {
		return
	}
	position := len(q.requests)
	for position > 0 && takesPrecedence(request, q.requests[position-1]) {
		position--
	}
	q.requests = slices.Insert(q.requests, position, request)
}

// find returns the position of the request of an attempt, or -1 if it is not queued.
func (q *queue) find(attempt string) int {
	return slices.IndexFunc(q.requests, func(r Request) bool { return r.Attempt == attempt })
}

func (q *queue) remove(attempt string) {
	if position := q.find(attempt); position >= 0 {
		q.requests = slices.Delete(q.requests, position, position+1)
	}
}
