package capacity

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

// BenchmarkCapacityExchange reports the size of one exchange between two entry VMs of a
// zone, request and reply, with one renewal and without transport overhead.
func BenchmarkCapacityExchange(b *testing.B) {
	for _, vms := range []int{3, 20, 65} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			reply := &capacitypb.ExchangeReply{}
			for i := range vms {
				reply.View = append(reply.View, fmt.Sprintf("entry-a%02d", i))
			}
			request := &capacitypb.ExchangeRequest{Vm: "entry-a01", Renewals: []*capacitypb.Renewal{{
				Server: "engine-a01",
				Lease:  sizedLease(),
			}}}
			size := 0
			for b.Loop() {
				size = proto.Size(request) + proto.Size(reply)
			}
			b.ReportMetric(float64(size), "wire-bytes")
		})
	}
}

// BenchmarkCapacityLease reports the size of the messages of one lease except its renewals:
// request, grant and release, without transport overhead.
func BenchmarkCapacityLease(b *testing.B) {
	for _, choices := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("choices=%d", choices), func(b *testing.B) {
			acquire := &capacitypb.AcquireRequest{Holder: "entry-a01", Lease: sizedLease()}
			for i := range choices {
				acquire.Choices = append(acquire.Choices, &capacitypb.Choice{Server: fmt.Sprintf("engine-a%02d", i), PrefillTokens: 3000, TokenNanos: 40_000})
			}
			grant := &capacitypb.AcquireReply{Status: capacitypb.Status_STATUS_GRANTED, Server: "engine-a01", AheadTokens: 3000}
			release := &capacitypb.Release{Server: "engine-a01", Attempt: acquire.Lease.Attempt}
			size := 0
			for b.Loop() {
				size = proto.Size(acquire) + proto.Size(grant) + proto.Size(release)
			}
			b.ReportMetric(float64(size), "wire-bytes")
		})
	}
}

// BenchmarkCapacityRenewals reports the size of an exchange request with a number of
// renewals, without transport overhead.
func BenchmarkCapacityRenewals(b *testing.B) {
	for _, leases := range []int{1, 10, 60} {
		b.Run(fmt.Sprintf("leases=%d", leases), func(b *testing.B) {
			exchange := &capacitypb.ExchangeRequest{Vm: "entry-a01"}
			for range leases {
				exchange.Renewals = append(exchange.Renewals, &capacitypb.Renewal{Server: "engine-a01", Lease: sizedLease()})
			}
			size := 0
			for b.Loop() {
				size = proto.Size(exchange)
			}
			b.ReportMetric(float64(size), "wire-bytes")
		})
	}
}

// sizedLease returns a lease with values of realistic size.
func sizedLease() *capacitypb.Lease {
	return &capacitypb.Lease{
		Attempt: "8e6f0c5a3c1d4f1b9a7e2d6c5b4a3f21", Tokens: 4096, PrefillTokens: 3000,
		Short: true, Priority: 8, LatestStartMillis: 900, DeadlineMillis: 30_000,
	}
}
