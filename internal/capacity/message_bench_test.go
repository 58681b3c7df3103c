package capacity

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

// BenchmarkMessageBytes reports the sizes of messages between entry VMs without gRPC
// framing.
func BenchmarkMessageBytes(b *testing.B) {
	now := time.Unix(0, 0)
	request := Request{
		Attempt: "0123456789abcdef-0123456789abcdef0123456789abcdef", Holder: "entry-a1", Tokens: 2000, PrefillTokens: 1000,
		Short: true, Priority: 8, LatestStart: now.Add(2 * time.Second), Deadline: now.Add(3 * time.Second),
	}
	choices := make([]Choice, 16)
	for i := range choices {
		choices[i] = Choice{Server: fmt.Sprintf("engine-a%02d", i), PrefillTokens: 1000, TokenTime: 50 * time.Microsecond}
	}
	sizes := map[string]proto.Message{
		"acquire_5_choices":  &capacitypb.AcquireRequest{Holder: "entry-a1", Lease: leaseToProto(request, now), Choices: choicesToProto(choices[:5])},
		"acquire_16_choices": &capacitypb.AcquireRequest{Holder: "entry-a1", Lease: leaseToProto(request, now), Choices: choicesToProto(choices)},
		"granted":            &capacitypb.AcquireReply{Status: capacitypb.Status_STATUS_GRANTED, Server: "engine-a01", AheadTokens: 10_000},
		"renewal":            &capacitypb.Renewal{Server: "engine-a01", Lease: leaseToProto(request, now), Prefilling: true},
		"release":            &capacitypb.Release{Server: "engine-a01", Attempt: request.Attempt},
		"view_of_3":          &capacitypb.ExchangeReply{View: []string{"entry-a1", "entry-a2", "entry-a3"}},
	}
	for name, message := range sizes {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = proto.Marshal(message)
			}
			b.ReportMetric(float64(proto.Size(message)), "bytes")
		})
	}
}
