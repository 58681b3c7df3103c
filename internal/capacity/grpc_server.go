package capacity

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
)

// queuedReplyDelay is the time without a decision after which a holder gets the first
// STATUS_QUEUED.
const queuedReplyDelay = time.Millisecond

// server implements the gRPC service for the other entry VMs of the zone.
type server struct {
	capacitypb.UnimplementedCapacityServer
	service *Service
}

// Register registers the gRPC service on registrar.
func (s *Service) Register(registrar grpc.ServiceRegistrar) {
	capacitypb.RegisterCapacityServer(registrar, &server{service: s})
}

// Acquire implements capacitypb.CapacityServer. It withdraws the request if the call ends
// before the decision is sent.
func (s *server) Acquire(message *capacitypb.AcquireRequest, stream grpc.ServerStreamingServer[capacitypb.AcquireReply]) error {
	request := requestFromProto(message.GetHolder(), message.GetLease(), s.service.options.Clock())
	pending, err := s.service.startRequest(request, choicesFromProto(message.GetChoices()))
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	interval := s.service.options.Config().LeaseTerm / ticksPerTerm
	queued := time.NewTimer(queuedReplyDelay)
	defer queued.Stop()
	for {
		select {
		case decision := <-pending.decision:
			err := stream.Send(&capacitypb.AcquireReply{Status: statusToProto(decision.Kind), Server: decision.Server, AheadTokens: decision.AheadTokens})
			if err != nil && decision.Kind == Granted {
				pending.withdraw()
			}
			return err
		case <-stream.Context().Done():
			pending.withdraw()
			return status.FromContextError(stream.Context().Err()).Err()
		case <-s.service.stopped:
			return status.Error(codes.Unavailable, errStopped.Error())
		case <-queued.C:
			queued.Reset(interval)
			if err := stream.Send(&capacitypb.AcquireReply{Status: capacitypb.Status_STATUS_QUEUED}); err != nil {
				pending.withdraw()
				return err
			}
		}
	}
}

// Exchange implements capacitypb.CapacityServer.
func (s *server) Exchange(_ context.Context, message *capacitypb.ExchangeRequest) (*capacitypb.ExchangeReply, error) {
	now := s.service.options.Clock()
	renewals := make([]renewal, 0, len(message.GetRenewals()))
	for _, r := range message.GetRenewals() {
		renewals = append(renewals, renewal{server: r.GetServer(), request: requestFromProto(message.GetVm(), r.GetLease(), now), prefilling: r.GetPrefilling()})
	}
	releases := make([]release, 0, len(message.GetReleases()))
	for _, r := range message.GetReleases() {
		releases = append(releases, release{server: r.GetServer(), attempt: r.GetAttempt(), memoryHeld: r.GetHeld()})
	}
	s.service.applyExchange(message.GetVm(), renewals, releases)
	return &capacitypb.ExchangeReply{View: s.service.View()}, nil
}
