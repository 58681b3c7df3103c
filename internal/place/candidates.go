package place

import (
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/estimate"
)

// candidate is a server that is eligible for a query.
type candidate struct {
	server *Server
	// inFlight is the number of requests that this VM has in flight on the server.
	inFlight int64
	// aheadTokens is the estimated prefill that precedes the query.
	aheadTokens int64
}

// isEligible reports whether server can run query regardless of its load: it is not
// excluded, its role accepts prompts and its total memory suffices.
func isEligible(server *Server, query *Query) bool {
	if server.Role == backendapi.RoleDecode || slices.Contains(query.Exclude, server.ID) {
		return false
	}
	return server.MemoryTokens == 0 || query.MemoryTokens() <= server.MemoryTokens
}

// maxShortAheadTokens limits the estimated prefill ahead of a short prompt. Engines
// prefill short prompts before long ones, but the reported backlog covers both.
const maxShortAheadTokens = 16_384

// candidates returns the servers that are eligible for query and not ejected. The
// result is valid until the next call.
func (s *engineStats) candidates(servers []Server, query *Query, maxEjectedPercent float64, now time.Time) []candidate {
	s.available = s.ejector.AppendAvailable(s.available[:0], len(servers), func(i int) string { return servers[i].ID }, maxEjectedPercent, now)
	s.candidateBuffer = s.candidateBuffer[:0]
	for _, i := range s.available {
		server := &servers[i]
		if !isEligible(server, query) {
			continue
		}
		local := s.localLoads[server.ID]
		aheadTokens := max(server.Load.PrefillBacklogTokens, local.prefillTokens)
		if query.Short {
			aheadTokens = min(aheadTokens, maxShortAheadTokens)
		}
		s.candidateBuffer = append(s.candidateBuffer, candidate{server: server, inFlight: local.inFlight, aheadTokens: aheadTokens})
	}
	return s.candidateBuffer
}

// timeEstimate is the expected duration of a query on a candidate.
type timeEstimate struct {
	// firstToken is the time to the first token, including the prefill ahead of the
	// query.
	firstToken time.Duration
	// decode is the time from the first token to the end of the answer.
	decode time.Duration
	// tokenTime is the prefill time of one prompt token.
	tokenTime time.Duration
}

func (t timeEstimate) total() time.Duration { return t.firstToken + t.decode }

// durationEstimator estimates the duration of one query on different candidates.
type durationEstimator struct {
	query  *Query
	speeds estimate.Speeds
	// answerTokens is the expected length of the answer.
	answerTokens int64
}

func (s *engineStats) newDurationEstimator(query *Query) durationEstimator {
	return durationEstimator{
		query:        query,
		speeds:       s.estimator.Speeds(query.Model, query.PromptTokens),
		answerTokens: s.estimator.AnswerTokens(query.Model, query.AnswerTokens),
	}
}

// forCandidate estimates the duration on c, where cachedTokens of the prompt need no
// prefill.
func (d *durationEstimator) forCandidate(c *candidate, cachedTokens int64) timeEstimate {
	speed := d.speeds.ForServer(c.server.ID)
	return timeEstimate{
		firstToken: speed.Prefill(max(d.query.PromptTokens-cachedTokens, 0) + c.aheadTokens),
		decode:     speed.Decode(d.answerTokens),
		tokenTime:  speed.Prefill(1),
	}
}
