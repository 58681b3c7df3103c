package capacity

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

// BenchmarkCapacityExchange reports the bytes of one exchange between two entry
// VMs of a zone, both ways, with one lease to renew and without transport.
func BenchmarkCapacityExchange(b *testing.B) {
	for _, vms := range []int{3, 20, 65} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			reply := &capacitypb.ExchangeReply{}
			for i := range vms {
				reply.View = append(reply.View, fmt.Sprintf("entry-a%02d", i))
			}
			request := &capacitypb.ExchangeRequest{Vm: "entry-a01", Renewals: []*capacitypb.Renewal{{
				Server: "engine-a01",
				Lease: &capacitypb.Lease{
					Attempt: "8e6f0c5a3c1d4f1b9a7e2d6c5b4a3f21", Tokens: 4096, PrefillTokens: 3000,
					Short: true, Priority: 8, LatestStartMillis: 900, DeadlineMillis: 30_000,
				},
			}}}
			size := 0
			for b.Loop() {
				size = proto.Size(request) + proto.Size(reply)
			}
			b.ReportMetric(float64(size), "wire-bytes")
		})
	}
}
