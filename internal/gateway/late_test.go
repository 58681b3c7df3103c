package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
)

// endlessBackend answers no whole request, and sends an event of a stream each 200 ms without end.
type endlessBackend struct{}

func (endlessBackend) Send(ctx context.Context, attempt *Attempt) (*Response, error) {
	if attempt.Request.Path == "/stream/x" || attempt.Request.Path == "/once/x" {
		return &Response{Status: http.StatusOK, Header: http.Header{}, Verified: true, IsStream: true, Body: &endlessBody{ctx: ctx}}, nil
	}
	<-ctx.Done()
	return nil, &AttemptError{Delivery: DeliveryUnknown, Err: ctx.Err()}
}

// endlessBody is a stream that ends with the context of its request only.
type endlessBody struct {
	ctx    context.Context
	events int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(200 * time.Millisecond):
		b.events++
		return bytes.NewReader(fmt.Appendf(nil, "id: %d\ndata: a\n\n", b.events)).Read(p)
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}
func (b *endlessBody) SetReadDeadline(time.Time) error   { return nil }
func (b *endlessBody) ClosedByServer(time.Duration) bool { return false }
func (b *endlessBody) Close() error                      { return nil }

// Requests are sent at each 100 ms of a stop. What arrives while the load balancer still sends may outlast the stop.
func TestRequestThatArrivesLateInAPlannedStopIsNotCutAtItsEnd(t *testing.T) {
	const lateAfter, step = 2500 * time.Millisecond, 100 * time.Millisecond
	for _, limit := range []time.Duration{3600 * time.Millisecond, 7600 * time.Millisecond, 19600 * time.Millisecond} {
		for _, kind := range []string{"safe", "unsafe", "stream", "once"} {
			for _, timeout := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 15 * time.Second} {
				t.Run(fmt.Sprintf("%v/%s/%v", limit, kind, timeout), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						table, f := testTable(), &fakes{}
						for i := range table.Routes {
							table.Routes[i].Timeout = 15 * time.Second
						}
						begunAt := time.Now()
						g := New(Options{
							Table: func() *routes.Table { return table }, Placer: f, Budget: f, Servers: f, Backend: endlessBackend{}, Memory: f,
							StopsIn: func() (time.Duration, bool) { return time.Until(begunAt.Add(limit)), true }, LateInStop: lateAfter,
							Zone: "a", Incarnation: 1, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
						})
						g.BeginStop()
						time.AfterFunc(limit, g.BeginExit)
						var taken atomic.Int32
						for sentAfter := time.Duration(0); sentAfter < limit; sentAfter += step {
							go func() {
								caller := &fakeCaller{}
								g.Serve(context.Background(), &Request{
									ID: sentAfter.String(), Host: "h", Path: "/" + kind + "/x", Key: "key", ArrivedAt: time.Now(), Timeout: timeout,
								}, caller)
								switch {
								case caller.refusal != 0:
									assert.Equal(t, StoppingRetryAfter, caller.retryAfter)
									return
								case !caller.aborted && caller.failure == 0:
									t.Errorf("taken %v after the stop began and not answered", sentAfter)
								case sentAfter >= lateAfter && time.Since(begunAt) >= limit:
									t.Errorf("taken %v after the stop began and cut at its end", sentAfter)
								}
								taken.Add(1)
							}()
							time.Sleep(step)
							synctest.Wait()
						}
						time.Sleep(time.Minute)
						assert.Equal(t, limit > min(typicalTime(table.Match("h", "/"+kind+"/x")), timeout), taken.Load() > 0, "%d requests were taken", taken.Load())
					})
				})
			}
		}
	}
}
