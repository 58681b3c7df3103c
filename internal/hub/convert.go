package hub

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
)

var statesToProto = map[roster.State]hubpb.ServerState{
	roster.StateReady: hubpb.ServerState_SERVER_READY, roster.StateDraining: hubpb.ServerState_SERVER_DRAINING,
	roster.StateGone: hubpb.ServerState_SERVER_GONE,
}

var statesFromProto = map[hubpb.ServerState]roster.State{
	hubpb.ServerState_SERVER_READY: roster.StateReady, hubpb.ServerState_SERVER_DRAINING: roster.StateDraining,
	hubpb.ServerState_SERVER_GONE: roster.StateGone,
}

func serverToProto(server roster.Server, now time.Time) *hubpb.Announcement {
	message := &hubpb.Announcement{
		Id: server.ID, Service: server.Service, Address: server.Address, Zone: server.Zone,
		Slots: uint32(server.Slots), State: statesToProto[server.State], Sequence: server.Sequence,
		AgeMs: uint32(max(0, now.Sub(server.LastSeen).Milliseconds())),
	}
	if !server.StartedAt.IsZero() {
		message.BornMs = server.StartedAt.UnixMilli()
	}
	if cold := server.ColdUntil.Sub(now); cold > 0 {
		message.ColdMs = uint32(cold.Milliseconds())
	}
	return message
}

// serversFromProto leaves out invalid announcements, which a VM with an older version may pass on.
func serversFromProto(messages []*hubpb.Announcement, now time.Time) []roster.Server {
	servers := make([]roster.Server, 0, len(messages))
	for _, message := range messages {
		state := statesFromProto[message.GetState()]
		if state == 0 {
			continue
		}
		server := roster.Server{
			ID: message.GetId(), Service: message.GetService(), Address: message.GetAddress(), Zone: message.GetZone(),
			Slots: int(message.GetSlots()), State: state, Sequence: message.GetSequence(),
			LastSeen: now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond),
		}
		if message.GetBornMs() != 0 {
			server.StartedAt = time.UnixMilli(message.GetBornMs())
		}
		if message.GetColdMs() != 0 {
			server.ColdUntil = now.Add(time.Duration(message.GetColdMs()) * time.Millisecond)
		}
		if server.Check(now) != nil {
			continue
		}
		servers = append(servers, server)
	}
	return servers
}

func evidenceToProto(evidence []quarantine.Evidence, now time.Time) []*hubpb.PartEvidence {
	age := func(at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }
	messages := make([]*hubpb.PartEvidence, 0, len(evidence))
	for _, e := range evidence {
		message := &hubpb.PartEvidence{Part: uint64(e.Subject)}
		for _, crash := range e.Crashes {
			message.Crashes = append(message.Crashes, &hubpb.PartCrash{
				ServerRun: uint64(crash.Server), Request: crash.Request, AgeMs: age(crash.At),
			})
		}
		if !e.SoundAt.IsZero() {
			message.SoundAgeMs = proto.Uint32(age(e.SoundAt))
		}
		messages = append(messages, message)
	}
	return messages
}

func evidenceFromProto(messages []*hubpb.PartEvidence, now time.Time) []quarantine.Evidence {
	at := func(ageMs uint32) time.Time { return now.Add(-time.Duration(ageMs) * time.Millisecond) }
	evidence := make([]quarantine.Evidence, 0, len(messages))
	for _, message := range messages {
		e := quarantine.Evidence{Subject: quarantine.Subject(message.GetPart())}
		for _, crash := range message.GetCrashes() {
			e.Crashes = append(e.Crashes, quarantine.Crash{
				Server: quarantine.ServerRun(crash.GetServerRun()), Request: crash.GetRequest(), At: at(crash.GetAgeMs()),
			})
		}
		if message.SoundAgeMs != nil {
			e.SoundAt = at(message.GetSoundAgeMs())
		}
		evidence = append(evidence, e)
	}
	return evidence
}

func requestToProto(request schedule.PlacementRequest, now time.Time) *hubpb.Ask {
	return &hubpb.Ask{
		Id: request.ID.Seq, Service: request.Service,
		PromptTokens: uint32(request.PromptTokens), AnswerTokens: uint32(request.AnswerTokens),
		AimMs:    int32(request.TargetAt.Sub(now).Milliseconds()),
		GiveUpMs: int32(request.StartDeadline.Sub(now).Milliseconds()),
		PauseMs:  int32(request.MaxGap.Milliseconds()), Worth: request.Weight,
		Priority: int32(request.Priority), Excluded: request.Excluded,
		Team: request.Team, AllowedZones: request.AllowedZones, Identity: request.Identity, Hedge: request.Hedge,
	}
}

func requestFromProto(message *hubpb.Ask, vm uint64, zone string, now time.Time) schedule.PlacementRequest {
	return schedule.PlacementRequest{
		ID: schedule.JobID{VM: vm, Seq: message.GetId()}, Service: message.GetService(), Zone: zone,
		PromptTokens: int(message.GetPromptTokens()), AnswerTokens: int(message.GetAnswerTokens()),
		TargetAt:      now.Add(time.Duration(message.GetAimMs()) * time.Millisecond),
		StartDeadline: now.Add(time.Duration(message.GetGiveUpMs()) * time.Millisecond),
		MaxGap:        time.Duration(message.GetPauseMs()) * time.Millisecond,
		Weight:        message.GetWorth(), Priority: int(message.GetPriority()), Excluded: message.GetExcluded(),
		Team: message.GetTeam(), AllowedZones: message.GetAllowedZones(), Identity: message.GetIdentity(), Hedge: message.GetHedge(),
	}
}

func placementToProto(placement schedule.Placement) *hubpb.Placement {
	message := &hubpb.Placement{Id: placement.ID.Seq, Server: placement.Server, RetryAfterMs: uint32(placement.RetryAfter.Milliseconds()), Reason: placement.Reason}
	for _, helper := range placement.Helpers {
		message.Helpers = append(message.Helpers, &hubpb.Helper{Server: helper.Server, ReserveTokens: uint32(helper.ReserveTokens)})
	}
	return message
}

func placementFromProto(message *hubpb.Placement, vm uint64) schedule.Placement {
	placement := schedule.Placement{
		ID: schedule.JobID{VM: vm, Seq: message.GetId()}, Server: message.GetServer(),
		RetryAfter: time.Duration(message.GetRetryAfterMs()) * time.Millisecond,
	}
	if placement.Server == "" {
		placement.Reason = cmp.Or(message.GetReason(), "refused by the scheduler")
	}
	for _, helper := range message.GetHelpers() {
		placement.Helpers = append(placement.Helpers, schedule.Helper{Server: helper.GetServer(), ReserveTokens: int(helper.GetReserveTokens())})
	}
	return placement
}

var outcomesToProto = map[schedule.Outcome]hubpb.ProgressKind{
	schedule.OutcomeDone: hubpb.ProgressKind_PROGRESS_ENDED, schedule.OutcomeFailed: hubpb.ProgressKind_PROGRESS_FAILED,
	schedule.OutcomeRejected: hubpb.ProgressKind_PROGRESS_REJECTED, schedule.OutcomeUnreachable: hubpb.ProgressKind_PROGRESS_UNREACHED,
	schedule.OutcomeServerError: hubpb.ProgressKind_PROGRESS_ERRORED, schedule.OutcomeStalled: hubpb.ProgressKind_PROGRESS_STALLED,
	schedule.OutcomeUnused: hubpb.ProgressKind_PROGRESS_UNUSED, schedule.OutcomeCancelled: hubpb.ProgressKind_PROGRESS_CANCELLED,
}

// outcomeFromProto returns OutcomeDone for an unknown kind, which a VM with a newer
// version may send.
func outcomeFromProto(kind hubpb.ProgressKind) schedule.Outcome {
	for outcome, known := range outcomesToProto {
		if known == kind {
			return outcome
		}
	}
	return schedule.OutcomeDone
}

// recordAnnouncements tells the evidence on crashes which servers have announced themselves.
func recordAnnouncements(evidence *quarantine.Tracker, servers []roster.Server) {
	if len(servers) == 0 {
		return
	}
	announced := make(map[quarantine.ServerRun]time.Time, len(servers))
	for i := range servers {
		if server := &servers[i]; server.State != roster.StateGone {
			announced[quarantine.NewServerRun(server.ID, server.StartedAt)] = server.LastSeen
		}
	}
	evidence.RecordAnnouncements(announced)
}
