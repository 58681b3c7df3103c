package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// BenchmarkCapacityAnnouncement measures the handling of one heartbeat with a number of
// cache events, and the size of its body in bytes.
func BenchmarkCapacityAnnouncement(b *testing.B) {
	for _, events := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			table := NewTable("a", unresponsiveAfter)
			handler := NewAnnouncementHandler(table, NewSubset(nil, "a", 2), time.Second, zerolog.Nop())
			a := engineAnnouncement(1, 0, backendapi.StateServing)
			for i := range events {
				a.CacheEvents = append(a.CacheEvents, backendapi.CacheEvent{Sequence: uint64(i), Kind: backendapi.CacheStored, Block: uint64(i) << 40, Tokens: 256})
			}
			var size int
			for b.Loop() {
				a.Sequence++
				body, err := json.Marshal(a)
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
				reply := httptest.NewRecorder()
				handler.ServeHTTP(reply, httptest.NewRequest(http.MethodPost, backendapi.PathAnnounce, bytes.NewReader(body)))
				if reply.Code != http.StatusOK {
					b.Fatal(reply.Code, reply.Body.String())
				}
			}
			b.ReportMetric(float64(size), "wire-bytes")
		})
	}
}
