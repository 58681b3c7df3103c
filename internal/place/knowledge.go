package place

import (
	"math"
	"time"

	"godwityoke.example/godwityoke/internal/eject"
	"godwityoke.example/godwityoke/internal/estimate"
)

const (
	// slownessWeight is the weight of the newest request in the slowness that
	// is usual for a model.
	slownessWeight = 0.02
	// evidenceAge is the age up to which what requests have shown speaks
	// against a query. Without newer evidence the query is tried, so that
	// refusals cannot keep a wrong estimate alive.
	evidenceAge = time.Second
)

// knowledge is what this VM has learned of engines from its own requests. It
// is guarded by the lock of its placer.
type knowledge struct {
	estimator *estimate.Estimator
	ejector   *eject.Ejector
	// work holds the servers on which this VM has requests in progress, so
	// its size is bounded by these requests.
	work map[string]ownWork
	// usual is the running average of the logarithm of slowness by model.
	usual map[string]float64
	// learned holds when a request last showed a speed, by model.
	learned map[string]time.Time
	buffer  []candidate
	kept    []int
}

// ownWork is what one VM has in progress on a server.
type ownWork struct {
	inFlight int64
	// prefillTokens sums the prompts without a first token.
	prefillTokens int64
}

func newKnowledge() *knowledge {
	return &knowledge{
		estimator: estimate.New(), ejector: eject.New(), work: map[string]ownWork{},
		usual: map[string]float64{}, learned: map[string]time.Time{},
	}
}

func (k *knowledge) begin(server string, prefillTokens int64, now time.Time) {
	own := k.work[server]
	own.inFlight++
	own.prefillTokens += prefillTokens
	k.work[server] = own
	k.ejector.RecordSend(server, now)
}

func (k *knowledge) endPrefill(server string, prefillTokens int64) {
	own := k.work[server]
	own.prefillTokens -= prefillTokens
	k.work[server] = own
}

func (k *knowledge) end(server string) {
	own := k.work[server]
	own.inFlight--
	if own.inFlight <= 0 {
		delete(k.work, server)
		return
	}
	k.work[server] = own
}

// relativeSlowness compares the time to a first token with what was expected
// of an engine for this model, and with how wrong that usually is: when all
// engines are slow, none is sick.
func (k *knowledge) relativeSlowness(model string, actual, expected time.Duration) float64 {
	if actual <= 0 || expected <= 0 {
		return 0
	}
	slowness := math.Log(actual.Seconds() / expected.Seconds())
	usual := k.usual[model]
	k.usual[model] = usual + (slowness-usual)*slownessWeight
	return math.Exp(slowness - usual)
}

// mayTry reports whether a query of model is tried although the estimate
// speaks against it.
func (k *knowledge) mayTry(model string, now time.Time) bool {
	return now.Sub(k.learned[model]) >= evidenceAge
}
