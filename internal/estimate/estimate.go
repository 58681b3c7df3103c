// Package estimate learns how fast engines prefill and decode from what they
// did, and estimates when a request would finish.
package estimate

import (
	"math/bits"
	"time"
)

const (
	// defaultPrefill is the assumed time for one prompt token on an engine of
	// which nothing is known.
	defaultPrefill = 50 * time.Microsecond
	// defaultDecode is the assumed time between two tokens.
	defaultDecode = 30 * time.Millisecond
	// defaultAnswerShare is the assumed length of an answer as a share of the
	// longest that was asked for.
	defaultAnswerShare = 0.5
	// minWeight is the weight of the newest sample in a running average.
	minWeight = 0.1
	// fasterWeight and slowerWeight are the weights of a sample that shows an
	// engine faster or slower than its average. Time to the first token holds
	// waits that no report told of, so the faster ones tell more of the speed.
	fasterWeight = 0.3
	slowerWeight = 0.05
	// maxOutlier bounds a sample to this multiple of the average, so that one
	// stall does not close an engine.
	maxOutlier = 8
	// minSamples is the number of samples after which outliers are bounded.
	minSamples = 8
	// lengthBuckets is the number of prompt lengths, by powers of two from
	// firstBucketTokens on, that are learned apart: time for each token grows
	// with the length.
	lengthBuckets     = 12
	firstBucketTokens = 1024
	// maxServers bounds the engines that are kept apart.
	maxServers = 4096
)

// average is an exponentially weighted running average.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample, weight float64) {
	if a.samples >= minSamples {
		sample = min(sample, a.value*maxOutlier)
	}
	a.value += (sample - a.value) * max(weight, 1/float64(a.samples+1))
	a.samples++
}

// addTime adds a sample of an engine's speed.
func (a *average) addTime(sample float64) {
	if sample < a.value {
		a.add(sample, fasterWeight)
		return
	}
	a.add(sample, slowerWeight)
}

// speed is what was learned of one engine and model. Times are in seconds for
// one token.
type speed struct {
	prefill  [lengthBuckets]average
	decode   average
	lastUsed time.Time
}

// Key names a model on an engine.
type Key struct {
	Server string
	Model  string
}

// Estimator holds what was learned. It is not safe for concurrent use.
type Estimator struct {
	servers map[Key]*speed
	models  map[string]*speed
	answers map[string]*average
}

// New returns an Estimator that knows nothing yet.
func New() *Estimator {
	return &Estimator{servers: map[Key]*speed{}, models: map[string]*speed{}, answers: map[string]*average{}}
}

// Observation is what one attempt has shown.
type Observation struct {
	Key          Key
	PromptTokens int64
	CachedTokens int64
	// AheadTokens is the prefill that was in progress or queued on the engine
	// when the attempt was sent.
	AheadTokens int64
	// TimeToFirstToken is the time from sending to the first token.
	TimeToFirstToken time.Duration
	// AnswerTokens is the number of tokens received, and Decode the time from
	// the first to the last of them.
	AnswerTokens int64
	DecodeTime   time.Duration
	// MaxAnswerTokens is the longest answer that was asked for, and Complete
	// whether the answer came to its own end.
	MaxAnswerTokens int64
	Complete        bool
}

// Learn takes an observation into account.
func (e *Estimator) Learn(o Observation, now time.Time) {
	for _, known := range []*speed{e.server(o.Key, now), e.model(o.Key.Model)} {
		if worked := o.PromptTokens - o.CachedTokens + o.AheadTokens; worked > 0 && o.TimeToFirstToken > 0 {
			known.prefill[bucket(o.PromptTokens)].addTime(o.TimeToFirstToken.Seconds() / float64(worked))
		}
		if o.AnswerTokens > 1 && o.DecodeTime > 0 {
			known.decode.addTime(o.DecodeTime.Seconds() / float64(o.AnswerTokens-1))
		}
	}
	if o.Complete && o.MaxAnswerTokens > 0 {
		e.answer(o.Key.Model).add(float64(o.AnswerTokens)/float64(o.MaxAnswerTokens), minWeight)
	}
}

func (e *Estimator) server(key Key, now time.Time) *speed {
	known, found := e.servers[key]
	if !found {
		e.makeRoom()
		known = &speed{}
		e.servers[key] = known
	}
	known.lastUsed = now
	return known
}

// makeRoom drops the engine that was used longest ago once there are
// maxServers of them.
func (e *Estimator) makeRoom() {
	if len(e.servers) < maxServers {
		return
	}
	var oldest Key
	var at time.Time
	for key, known := range e.servers {
		if at.IsZero() || known.lastUsed.Before(at) {
			oldest, at = key, known.lastUsed
		}
	}
	delete(e.servers, oldest)
}

func (e *Estimator) model(name string) *speed {
	known, found := e.models[name]
	if !found {
		known = &speed{}
		e.models[name] = known
	}
	return known
}

func (e *Estimator) answer(model string) *average {
	known, found := e.answers[model]
	if !found {
		known = &average{}
		e.answers[model] = known
	}
	return known
}

// bucket returns the index of the prompt lengths that tokens belongs to.
func bucket(tokens int64) int {
	return min(bits.Len64(uint64(max(tokens, 0)/firstBucketTokens)), lengthBuckets-1)
}

// nearest returns the learned average whose prompt length is closest.
func (s *speed) nearest(at int) (float64, bool) {
	for distance := range lengthBuckets {
		for _, i := range [2]int{at - distance, at + distance} {
			if i >= 0 && i < lengthBuckets && s.prefill[i].samples > 0 {
				return s.prefill[i].value, true
			}
		}
	}
	return 0, false
}

// Speeds are the learned speeds of one model for prompts of one length.
type Speeds struct {
	estimator *Estimator
	model     string
	bucket    int
	usual     Speed
}

// Speed is the time that an engine takes for each token.
type Speed struct {
	// PrefillSeconds and Answer are in seconds for one token.
	PrefillSeconds float64
	DecodeSeconds  float64
}

// Prefill returns the time for tokens of prompts.
func (s Speed) Prefill(tokens int64) time.Duration {
	return seconds(s.PrefillSeconds * float64(tokens))
}

// Decode returns the time to generate tokens.
func (s Speed) Decode(tokens int64) time.Duration { return seconds(s.DecodeSeconds * float64(tokens)) }

// Speeds returns the speeds of model for prompts of length promptTokens.
func (e *Estimator) Speeds(model string, promptTokens int64) Speeds {
	speeds := Speeds{
		estimator: e, model: model, bucket: bucket(promptTokens),
		usual: Speed{PrefillSeconds: defaultPrefill.Seconds(), DecodeSeconds: defaultDecode.Seconds()},
	}
	if known, found := e.models[model]; found {
		speeds.usual = known.at(speeds.bucket, speeds.usual)
	}
	return speeds
}

// Average returns the speed of any engine of the model.
func (s *Speeds) Average() Speed { return s.usual }

// ForServer returns the speed of one engine: what it has shown, else the usual.
func (s *Speeds) ForServer(server string) Speed {
	if known, found := s.estimator.servers[Key{Server: server, Model: s.model}]; found {
		return known.at(s.bucket, s.usual)
	}
	return s.usual
}

// at returns what was learned for a prompt length, or fallback.
func (s *speed) at(bucket int, fallback Speed) Speed {
	if perToken, learned := s.nearest(bucket); learned {
		fallback.PrefillSeconds = perToken
	}
	if s.decode.samples > 0 {
		fallback.DecodeSeconds = s.decode.value
	}
	return fallback
}

// AnswerTokens estimates the length of an answer of at most limit tokens.
func (e *Estimator) AnswerTokens(model string, limit int64) int64 {
	share := defaultAnswerShare
	if known, found := e.answers[model]; found && known.samples > 0 {
		share = min(1, known.value)
	}
	return int64(share * float64(limit))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
