package place

import (
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/estimate"
)

// candidate is a server that may take a query, with what this VM knows of its
// own work there.
type candidate struct {
	server *Server
	// inFlight counts the requests that this VM has in progress there.
	inFlight int64
	// ahead is the prefill in tokens that is thought to be ahead of the query.
	ahead int64
}

// fits reports whether server may take query at all: it is not excluded, its
// role takes prompts and its whole memory holds the query.
func fits(server *Server, query *Query) bool {
	if server.Role == backendapi.RoleDecode || slices.Contains(query.Exclude, server.ID) {
		return false
	}
	return server.MemoryTokens == 0 || query.MemoryTokens() <= server.MemoryTokens
}

// maxShortAhead bounds the prefill in tokens that is taken to be ahead of a short
// prompt: engines put it before long ones, which reports do not tell apart.
const maxShortAhead = 16_384

// candidates returns the servers that may take query. The result is valid
// until the next call.
func (k *knowledge) candidates(servers []Server, query *Query, maxEjectedPercent float64, now time.Time) []candidate {
	k.kept = k.ejector.AppendAvailable(k.kept[:0], len(servers), func(i int) string { return servers[i].ID }, maxEjectedPercent, now)
	k.buffer = k.buffer[:0]
	for _, i := range k.kept {
		server := &servers[i]
		if !fits(server, query) {
			continue
		}
		own := k.work[server.ID]
		ahead := max(server.Load.PrefillBacklogTokens, own.prefillTokens)
		if query.Short {
			ahead = min(ahead, maxShortAhead)
		}
		k.buffer = append(k.buffer, candidate{server: server, inFlight: own.inFlight, ahead: ahead})
	}
	return k.buffer
}

// timing is how long a query is expected to take on a candidate.
type timing struct {
	// firstToken is the time to the first token, with the prefill ahead.
	firstToken time.Duration
	decode     time.Duration
	// tokenTime is the time for one prompt token.
	tokenTime time.Duration
}

func (t timing) total() time.Duration { return t.firstToken + t.decode }

// outlook estimates one query on candidates.
type outlook struct {
	query  *Query
	speeds estimate.Speeds
	answer int64
}

func (k *knowledge) outlook(query *Query) outlook {
	return outlook{
		query:  query,
		speeds: k.estimator.Speeds(query.Model, query.PromptTokens),
		answer: k.estimator.AnswerTokens(query.Model, query.AnswerTokens),
	}
}

// on estimates the query on c, of whose prompt cached tokens need no prefill.
func (o *outlook) on(c *candidate, cached int64) timing {
	speed := o.speeds.ForServer(c.server.ID)
	return timing{
		firstToken: speed.Prefill(max(o.query.PromptTokens-cached, 0) + c.ahead),
		decode:     speed.Decode(o.answer),
		tokenTime:  speed.Prefill(1),
	}
}
