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

// candidates returns the servers that may take query. The result is valid
// until the next call.
func (k *knowledge) candidates(servers []Server, query *Query, maxEjectedPercent float64, now time.Time) []candidate {
	k.kept = k.ejector.Keep(k.kept[:0], len(servers), func(i int) string { return servers[i].ID }, maxEjectedPercent, now)
	k.buffer = k.buffer[:0]
	for _, i := range k.kept {
		server := &servers[i]
		if !fits(server, query) {
			continue
		}
		own := k.work[server.ID]
		ahead := max(server.Load.PrefillBacklogTokens, own.prefillTokens)
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

// timing estimates query on c, of whose prompt cached tokens need no prefill.
func (k *knowledge) timing(c *candidate, query *Query, cached int64) timing {
	key := estimate.Key{Server: c.server.ID, Model: query.Model}
	prefill := k.estimator.Prefill(key, query.PromptTokens, max(query.PromptTokens-cached, 0)+c.ahead)
	answer := k.estimator.AnswerTokens(query.Model, query.AnswerTokens)
	return timing{
		firstToken: prefill,
		decode:     k.estimator.Decode(key, answer),
		tokenTime:  k.estimator.Prefill(key, query.PromptTokens, tokenSample) / tokenSample,
	}
}

// tokenSample is the number of tokens whose time is divided for that of one,
// since a duration has whole nanoseconds.
const tokenSample = 1000
