// Package estimate measures the prefill and decode speed of model engines from finished
// attempts, and estimates the duration of further ones. It does not decide where a
// request runs.
package estimate

import (
	"math/bits"
	"time"
)

const (
	// defaultPrefillTime is the assumed time per prompt token without any observation of
	// the model.
	defaultPrefillTime = 50 * time.Microsecond
	// defaultDecodeTime is the assumed time per answer token without any observation of
	// the model.
	defaultDecodeTime = 30 * time.Millisecond
	// defaultAnswerFraction is the assumed answer length as a fraction of the requested
	// maximum.
	defaultAnswerFraction = 0.5
	// answerWeight is the weight of the newest sample in the average answer length.
	answerWeight = 0.1
	// fasterWeight and slowerWeight are the weights of samples that are faster or slower
	// than the average. Slow samples count less, because the time to the first token
	// includes waits that no load report covers.
	fasterWeight = 0.3
	slowerWeight = 0.05
	// maxOutlierRatio limits a sample to this multiple of the average, so that a single
	// stall does not exclude an engine.
	maxOutlierRatio = 8
	// minSamples is the number of samples after which maxOutlierRatio applies.
	minSamples = 8
	// lengthBuckets is the number of prompt length ranges with separate averages, since
	// the time per token grows with the length. The first range ends at
	// firstBucketTokens, each further one at twice the end of the one before; the last
	// has no end.
	lengthBuckets     = 12
	firstBucketTokens = 1024
	// maxServers is the maximum number of pairs of engine and model with averages of
	// their own.
	maxServers = 4096
)

// average is an exponentially weighted moving average. Its first samples count equally.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample, weight float64) {
	if a.samples >= minSamples {
		sample = min(sample, a.value*maxOutlierRatio)
	}
	a.value += (sample - a.value) * max(weight, 1/float64(a.samples+1))
	a.samples++
}

// addTime adds a sample of the time per token.
func (a *average) addTime(sample float64) {
	if sample < a.value {
		a.add(sample, fasterWeight)
		return
	}
	a.add(sample, slowerWeight)
}

// learnedSpeed holds the averages of an engine and model, or of a model, in seconds per
// token.
type learnedSpeed struct {
	prefill  [lengthBuckets]average
	decode   average
	lastUsed time.Time
}

// Key identifies a model on an engine.
type Key struct {
	Server string
	Model  string
}

// Estimator holds the averages of all engines and models. It is not safe for concurrent
// use.
type Estimator struct {
	servers map[Key]*learnedSpeed
	models  map[string]*learnedSpeed
	answers map[string]*average
}

// New returns an Estimator without observations, which uses default speeds.
func New() *Estimator {
	return &Estimator{servers: map[Key]*learnedSpeed{}, models: map[string]*learnedSpeed{}, answers: map[string]*average{}}
}

// Observation is the measurement of one finished attempt.
type Observation struct {
	Key          Key
	PromptTokens int64
	CachedTokens int64
	// AheadTokens is the estimated prefill, running or queued, that preceded the attempt on
	// the engine.
	AheadTokens int64
	// TimeToFirstToken is the time from sending to the first token.
	TimeToFirstToken time.Duration
	// AnswerTokens is the number of tokens received, and DecodeTime the time from the first
	// to the last of them.
	AnswerTokens int64
	DecodeTime   time.Duration
	// MaxAnswerTokens is the requested maximum length of the answer. Complete is true if the
	// answer ended normally.
	MaxAnswerTokens int64
	Complete        bool
}

// Learn updates the averages with an observation made at now.
func (e *Estimator) Learn(o Observation, now time.Time) {
	for _, learned := range []*learnedSpeed{e.server(o.Key, now), e.model(o.Key.Model)} {
		if prefilled := o.PromptTokens - o.CachedTokens + o.AheadTokens; prefilled > 0 && o.TimeToFirstToken > 0 {
			learned.prefill[bucket(o.PromptTokens)].addTime(o.TimeToFirstToken.Seconds() / float64(prefilled))
		}
		if o.AnswerTokens > 1 && o.DecodeTime > 0 {
			learned.decode.addTime(o.DecodeTime.Seconds() / float64(o.AnswerTokens-1))
		}
	}
	if o.Complete && o.MaxAnswerTokens > 0 {
		e.answer(o.Key.Model).add(float64(o.AnswerTokens)/float64(o.MaxAnswerTokens), answerWeight)
	}
}

func (e *Estimator) server(key Key, now time.Time) *learnedSpeed {
	learned, found := e.servers[key]
	if !found {
		e.evictOldest()
		learned = &learnedSpeed{}
		e.servers[key] = learned
	}
	learned.lastUsed = now
	return learned
}

// evictOldest drops the least recently used entry if there are maxServers of them.
func (e *Estimator) evictOldest() {
	if len(e.servers) < maxServers {
		return
	}
	var oldest Key
	var oldestUse time.Time
	for key, learned := range e.servers {
		if oldestUse.IsZero() || learned.lastUsed.Before(oldestUse) {
			oldest, oldestUse = key, learned.lastUsed
		}
	}
	delete(e.servers, oldest)
}

func (e *Estimator) model(name string) *learnedSpeed {
	learned, found := e.models[name]
	if !found {
		learned = &learnedSpeed{}
		e.models[name] = learned
	}
	return learned
}

func (e *Estimator) answer(model string) *average {
	learned, found := e.answers[model]
	if !found {
		learned = &average{}
		e.answers[model] = learned
	}
	return learned
}

// bucket returns the index of the prompt length range that contains tokens.
func bucket(tokens int64) int {
	return min(bits.Len64(uint64(max(tokens, 0)/firstBucketTokens)), lengthBuckets-1)
}

// nearest returns the average prefill time of the range with samples closest to index, and
// the shorter range of two equally close ones. It returns false without any samples.
func (s *learnedSpeed) nearest(index int) (float64, bool) {
	for distance := range lengthBuckets {
		for _, i := range [2]int{index - distance, index + distance} {
			if i >= 0 && i < lengthBuckets && s.prefill[i].samples > 0 {
				return s.prefill[i].value, true
			}
		}
	}
	return 0, false
}

// Speeds returns estimates for one model and prompt length. It reads the Estimator, so it
// must not be used concurrently with it.
type Speeds struct {
	estimator *Estimator
	model     string
	bucket    int
	average   Speed
}

// Speed is the time per token on an engine.
type Speed struct {
	// PrefillSeconds is per prompt token, DecodeSeconds per answer token.
	PrefillSeconds float64
	DecodeSeconds  float64
}

// Prefill returns the expected time to prefill tokens.
func (s Speed) Prefill(tokens int64) time.Duration {
	return seconds(s.PrefillSeconds * float64(tokens))
}

// Decode returns the expected time to decode tokens.
func (s Speed) Decode(tokens int64) time.Duration { return seconds(s.DecodeSeconds * float64(tokens)) }

// Speeds returns the estimates of model for prompts of length promptTokens.
func (e *Estimator) Speeds(model string, promptTokens int64) Speeds {
	speeds := Speeds{
		estimator: e, model: model, bucket: bucket(promptTokens),
		average: Speed{PrefillSeconds: defaultPrefillTime.Seconds(), DecodeSeconds: defaultDecodeTime.Seconds()},
	}
	if learned, found := e.models[model]; found {
		speeds.average = learned.at(speeds.bucket, speeds.average)
	}
	return speeds
}

// Average returns the average speed over the engines of the model, or the default without
// observations.
func (s *Speeds) Average() Speed { return s.average }

// ForServer returns the observed speed of server. Where it has no observations, the
// average of the model is used.
func (s *Speeds) ForServer(server string) Speed {
	if learned, found := s.estimator.servers[Key{Server: server, Model: s.model}]; found {
		return learned.at(s.bucket, s.average)
	}
	return s.average
}

// at returns the speed for a range of prompt lengths. Values without samples are taken from
// fallback.
func (s *learnedSpeed) at(bucket int, fallback Speed) Speed {
	if perToken, learned := s.nearest(bucket); learned {
		fallback.PrefillSeconds = perToken
	}
	if s.decode.samples > 0 {
		fallback.DecodeSeconds = s.decode.value
	}
	return fallback
}

// AnswerTokens returns the expected length of an answer with the requested maximum limit.
func (e *Estimator) AnswerTokens(model string, limit int64) int64 {
	fraction := defaultAnswerFraction
	if learned, found := e.answers[model]; found && learned.samples > 0 {
		fraction = min(1, learned.value)
	}
	return int64(fraction * float64(limit))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
