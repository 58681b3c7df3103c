package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/standin/answer"
)

const (
	// answerGrace is the time that the client still waits for the answer after the
	// deadline of a request.
	answerGrace = 5 * time.Second
	// maxIdleConnections bounds the idle connections to each entry VM.
	maxIdleConnections = 512
	// maxEventLineBytes is the size of the read buffer and so the maximum length of
	// a line of an event stream.
	maxEventLineBytes = 4096
)

// client sends arrivals to entry VMs and verifies the answers.
type client struct {
	scenario *Scenario
	run      string
	balancer *balancer
	stalls   *stallMonitor
	http     *http.Client
}

func newClient(scenario *Scenario, run string, entries []string) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true, IdleConnTimeout: time.Minute,
	}
	return &client{scenario: scenario, run: run, balancer: newBalancer(entries), stalls: &stallMonitor{}, http: &http.Client{Transport: transport}}
}

// streamEvent has the fields of a server-sent event that the client reads.
type streamEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *errorDetail `json:"error"`
}

type errorDetail struct {
	Code    request.Code    `json:"code"`
	Outcome request.Outcome `json:"outcome"`
	Message string          `json:"message"`
}

// send sends an arrival that is scheduled for the time due and returns its result.
// Times are measured from due, so that a delay of the client itself counts as
// latency.
func (c *client) send(arrival *Arrival, due time.Time) Sample {
	sample := newSample(arrival)
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(arrival.Timeout+answerGrace))
	defer cancel()
	var sendLag atomic.Int64 // written by the transport's goroutine
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sendLag.Store(int64(time.Since(due))) },
	})
	time.Sleep(c.scenario.ClientDelay.Std())
	var err error
	if arrival.Prompt != nil {
		err = c.sendPrompt(ctx, arrival, due, &sample)
	} else {
		err = c.sendCall(ctx, arrival, &sample)
	}
	sample.SendLag = time.Duration(sendLag.Load())
	sample.StallTime = c.stalls.stalledBetween(due.Add(sample.SendLag), time.Now())
	sample.TotalTime = time.Since(due) + c.scenario.ClientDelay.Std()
	if err != nil && sample.Outcome == "" {
		sample.ErrorMessage = err.Error()
		sample.TimedOut = ctx.Err() != nil
		sample.ConnectionLost = ctx.Err() == nil
	}
	return sample
}

func (c *client) newRequest(ctx context.Context, arrival *Arrival, method, path string, body io.Reader, size int) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.balancer.pick(arrival.EntryIndex)+path, body)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	r.ContentLength = int64(size)
	r.Header.Set("Authorization", "Bearer "+arrival.Team.Key)
	r.Header.Set("Content-Type", "application/json")
	if arrival.SendsDeadline {
		r.Header.Set(request.DeadlineHeader, arrival.Timeout.String())
	}
	return r, nil
}

func (c *client) sendPrompt(ctx context.Context, arrival *Arrival, due time.Time, sample *Sample) error {
	model := c.scenario.model(arrival.Team.Model)
	if model == nil {
		return fmt.Errorf("model %q is not in the bundle", arrival.Team.Model)
	}
	prompt := promptText(arrival, c.run, model.BytesPerToken)
	generator := answer.NewGenerator(answer.Source{Model: model.Name, Version: model.Version, Prompt: prompt})
	sample.Seed = generator.Seed()
	path, parts := promptBody(arrival, prompt)
	r, err := c.newRequest(ctx, arrival, http.MethodPost, path, joinReaders(parts), totalSize(parts))
	if err != nil {
		return err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readErrorBody(response, sample)
	}
	checker := &tokenChecker{expected: generator, sample: sample, due: due, clientDelay: c.scenario.ClientDelay.Std()}
	return checker.read(response, arrival.Prompt.AnswerTokens)
}

// promptBody returns the path and the parts of the JSON body. The prompt is not
// escaped, so the names of teams and runs must have no characters that need
// escaping. The filler has none.
func promptBody(arrival *Arrival, prompt string) (string, []string) {
	model, tokens := strconv.Quote(arrival.Team.Model), strconv.FormatInt(arrival.Prompt.AnswerTokens, 10)
	end := `,"max_tokens":` + tokens + `,"stream":true}`
	if arrival.Team.Chat {
		return "/v1/chat/completions", []string{`{"model":` + model + `,"messages":[{"role":"user","content":"`, prompt, `"}]` + end}
	}
	return "/v1/completions", []string{`{"model":` + model + `,"prompt":"`, prompt, `"` + end}
}

func joinReaders(parts []string) io.Reader {
	readers := make([]io.Reader, len(parts))
	for i, part := range parts {
		readers[i] = strings.NewReader(part)
	}
	return io.MultiReader(readers...)
}

func totalSize(parts []string) int {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return size
}

// readErrorBody copies outcome, code and message of an error response to the
// sample.
func readErrorBody(response *http.Response, sample *Sample) error {
	var body struct {
		Error errorDetail `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	sample.Outcome, sample.Code, sample.ErrorMessage = body.Error.Outcome, body.Error.Code, body.Error.Message
	sample.RetryAfter = response.Header.Get("Retry-After") != ""
	return nil
}

// tokenChecker compares the tokens of a stream with the expected answer.
type tokenChecker struct {
	expected     answer.Generator
	sample       *Sample
	due          time.Time
	clientDelay  time.Duration
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// pending is received text that is a beginning of the next token.
	pending string
}

var errStreamEnded = errors.New("the stream ended without its last event")

// read reads the events of a stream and verifies their text until the last event or
// an error event. It returns an error if the stream ends before, or has an event
// that is no JSON.
func (t *tokenChecker) read(response *http.Response, wantedTokens int64) error {
	lines := bufio.NewReaderSize(response.Body, maxEventLineBytes)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return errors.Join(errStreamEnded, err)
		}
		data, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			t.finish(wantedTokens)
			return nil
		}
		var event streamEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return fmt.Errorf("stream: %w", err)
		}
		if event.Error != nil {
			t.sample.Outcome, t.sample.Code, t.sample.ErrorMessage = event.Error.Outcome, event.Error.Code, event.Error.Message
			return nil
		}
		for _, choice := range event.Choices {
			t.verify(choice.Text + choice.Delta.Content)
		}
	}
}

// verify appends text to the pending text, and compares each whole token of the
// pending text with the expected token.
func (t *tokenChecker) verify(text string) {
	t.pending += text
	for t.pending != "" {
		token := t.expected.Token(t.sample.Tokens)
		if !strings.HasPrefix(t.pending, token) {
			if len(t.pending) >= len(token) || !strings.HasPrefix(token, t.pending) {
				t.sample.WrongAnswer = true
				t.pending = ""
			}
			return
		}
		t.pending = t.pending[len(token):]
		t.sample.Tokens++
		t.lastTokenAt = time.Now()
		if t.firstTokenAt.IsZero() {
			t.firstTokenAt = t.lastTokenAt
			t.sample.FirstToken = t.firstTokenAt.Sub(t.due) + t.clientDelay
		}
	}
}

// finish records a completed answer. The answer is wrong if it does not have exactly
// wantedTokens tokens.
func (t *tokenChecker) finish(wantedTokens int64) {
	t.sample.Outcome = request.Completed
	if t.sample.Tokens != wantedTokens || t.pending != "" {
		t.sample.WrongAnswer = true
	}
	if t.sample.Tokens > 1 {
		t.sample.TokenGap = t.lastTokenAt.Sub(t.firstTokenAt) / time.Duration(t.sample.Tokens-1)
	}
}

func (c *client) sendCall(ctx context.Context, arrival *Arrival, sample *Sample) error {
	operation := arrival.Call.Operation
	body := fmt.Sprintf(`{"team":%q,"number":%q}`, arrival.Team.Name, arrival.Call.Key)
	path := "/services/" + operation.Service + operation.Path
	r, err := c.newRequest(ctx, arrival, operation.Method, path, strings.NewReader(body), len(body))
	if err != nil {
		return err
	}
	if arrival.Call.Key != "" {
		sample.Key = c.run + "-" + arrival.Call.Key
		r.Header.Set(request.IdempotencyKeyHeader, sample.Key)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readErrorBody(response, sample)
	}
	return verifyCallAnswer(response, arrival, sample)
}

// verifyCallAnswer checks that the answer of a stand-in service repeats the
// service, the path and the idempotency key of the call.
func verifyCallAnswer(response *http.Response, arrival *Arrival, sample *Sample) error {
	var got struct {
		Service string `json:"service"`
		Path    string `json:"path"`
		Key     string `json:"key"`
	}
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	operation := arrival.Call.Operation
	sample.Outcome = request.Completed
	sample.WrongAnswer = got.Service != operation.Service || got.Path != operation.Path || got.Key != sample.Key
	return nil
}
