package estimate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var now = time.Unix(1_000_000, 0)

func observe(e *Estimator, server string, prompt, cached, ahead int64, firstToken time.Duration) {
	e.Learn(Observation{
		Key: Key{server, "m"}, PromptTokens: prompt, CachedTokens: cached, AheadTokens: ahead, TimeToFirstToken: firstToken,
		AnswerTokens: 101, DecodeTime: 2 * time.Second, MaxAnswerTokens: 404, Complete: true,
	}, now)
}

func prefill(e *Estimator, server string, tokens int64) time.Duration {
	speeds := e.Speeds("m", tokens)
	return speeds.ForServer(server).Prefill(tokens)
}

func TestPrefillTimeByServerAndPromptLength(t *testing.T) {
	e := New()
	assert.Equal(t, 50*time.Millisecond, prefill(e, "e1", 1000), "the default without observations")
	for range 50 {
		observe(e, "e1", 1000, 0, 0, 20*time.Millisecond)
		observe(e, "e1", 100_000, 0, 0, 8*time.Second)
		observe(e, "e2", 1000, 500, 500, 100*time.Millisecond)
	}
	assert.InDelta(t, 20, prefill(e, "e1", 1000).Milliseconds(), 1)
	assert.InDelta(t, 8000, prefill(e, "e1", 100_000).Milliseconds(), 10, "longer prompts take more time per token")
	assert.InDelta(t, 100, prefill(e, "e2", 1000).Milliseconds(), 1, "cached tokens and the queue ahead are accounted for")
	assert.InDelta(t, 60, prefill(e, "e3", 1000).Milliseconds(), 30, "the estimate of an unknown engine is the average of the others")
	speeds := e.Speeds("m", 1000)
	speed := speeds.ForServer("e1")
	assert.InDelta(t, 2000, speed.Decode(100).Milliseconds(), 1)
	assert.Equal(t, int64(250), e.AnswerTokens("m", 1000))
}

// A single stall must not raise the estimate so far that the engine gets no requests any
// more, but a lasting slowdown must show in the estimate.
func TestSingleStallHardlyChangesEstimate(t *testing.T) {
	e := New()
	for range 20 {
		observe(e, "e1", 1000, 0, 0, 20*time.Millisecond)
	}
	observe(e, "e1", 1000, 0, 0, time.Minute)
	assert.Less(t, prefill(e, "e1", 1000), 40*time.Millisecond)
	for range 100 {
		observe(e, "e1", 1000, 0, 0, time.Second)
	}
	assert.Greater(t, prefill(e, "e1", 1000), 900*time.Millisecond, "a lasting slowdown raises the estimate")
}

func TestNumberOfServersIsLimited(t *testing.T) {
	e := New()
	for i := range maxServers + 100 {
		e.Learn(Observation{Key: Key{fmt.Sprint(i), "m"}}, now.Add(time.Duration(i)))
	}
	assert.Len(t, e.servers, maxServers)
}
