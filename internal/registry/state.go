package registry

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

const (
	// maxHistory is the maximum number of accepted bundles in the history, which
	// holds no content.
	maxHistory = 4096
	// maxAcceptedAnswers is the maximum number of recorded answers to accepted
	// commands.
	maxAcceptedAnswers = 4096
	// maxRefusedAnswers is the maximum number of recorded answers to commands
	// that were not accepted. They have a log of their own, so that they don't
	// evict answers to accepted commands.
	maxRefusedAnswers = 1024
)

// state is the replicated state. Only execute changes it.
type state struct {
	// newest is the newest accepted bundle, nil if there is none yet.
	newest *registrypb.Accepted
	// rolled is the bundle of the current roll, nil before the first roll.
	rolled *registrypb.Accepted
	roll   *registrypb.RollState
	// history holds accepted bundles without content, oldest first.
	history []*registrypb.Accepted
	// accepted and refused are the recorded answers to submissions and rolls.
	accepted answerLog
	refused  answerLog
	vms      []*registrypb.ControlVM
	// vmsRevision grows with each change of vms.
	vmsRevision uint64
	// epochs are ordered by number, oldest first.
	epochs []*registrypb.Epoch
	// routes is the route table with the highest version, nil if there is none
	// yet.
	routes *registrypb.RouteTable
	// departures are the backend servers that drain or have left, ordered by time, oldest
	// first. There is one for each id.
	departures []*registrypb.Departure
	// departuresRevision grows with each change of departures.
	departuresRevision uint64
	// evacuations are the evacuated availability zones, ordered by zone.
	evacuations []*registrypb.Evacuation
	// evacuationsRevision grows with each change of evacuations.
	evacuationsRevision uint64
}

func newState() *state {
	return &state{
		accepted: answerLog{limit: maxAcceptedAnswers},
		refused:  answerLog{limit: maxRefusedAnswers},
	}
}

// execute applies command and returns its result. It must depend on the state and
// the command alone (not on time, randomness or settings), so that all members
// reach the same state.
func (s *state) execute(command *registrypb.Command) Result {
	switch kind := command.Kind.(type) {
	case *registrypb.Command_Submit:
		return s.executeOnce(kind.Submit.GetSubmissionId(), submitRequestDigest(kind.Submit), func() Result { return s.submit(kind.Submit) })
	case *registrypb.Command_Roll:
		return s.executeOnce(kind.Roll.GetSubmissionId(), rollRequestDigest(kind.Roll), func() Result { return s.setRoll(kind.Roll) })
	case *registrypb.Command_SetEpoch:
		return s.setEpoch(kind.SetEpoch)
	case *registrypb.Command_PutControlVm:
		return s.putControlVM(kind.PutControlVm.GetVm())
	case *registrypb.Command_RemoveControlVm:
		return s.removeControlVM(kind.RemoveControlVm.GetName())
	case *registrypb.Command_PutRoutes:
		return s.putRoutes(kind.PutRoutes.GetTable())
	case *registrypb.Command_RecordDepartures:
		return s.recordDepartures(kind.RecordDepartures)
	case *registrypb.Command_SetEvacuation:
		return s.setEvacuation(kind.SetEvacuation)
	}
	return Result{Code: CodeRefused}
}

// executeOnce runs action for the first command with the given submission id and
// records its result. A resend of the same request gets the recorded result, a
// different request with the same id gets CodeIDReused.
func (s *state) executeOnce(id string, request []byte, action func() Result) Result {
	if answer := s.findAnswer(id); answer != nil {
		first := resultFromProto(answer.GetResult())
		if bytes.Equal(answer.GetRequest(), request) {
			return first
		}
		return Result{Code: CodeIDReused, Version: first.Version, Digest: first.Digest}
	}
	result := action()
	answer := &registrypb.Answer{SubmissionId: id, Request: request, Result: result.toProto()}
	if result.Code == CodeAccepted {
		s.accepted.add(answer)
	} else {
		s.refused.add(answer)
	}
	return result
}

func (s *state) findAnswer(id string) *registrypb.Answer {
	if answer := s.accepted.find(id); answer != nil {
		return answer
	}
	return s.refused.find(id)
}

// submitRequestDigest returns the digest by which a resend is recognised. It
// covers the expected version and the digest of the bundle, but not the
// signatures, which a resend may carry in another order, and not the time.
func submitRequestDigest(submit *registrypb.Submit) []byte {
	return requestDigest(&registrypb.Submit{ExpectedVersion: submit.GetExpectedVersion(), Digest: submit.GetDigest()}, "submit")
}

func rollRequestDigest(roll *registrypb.Roll) []byte {
	return requestDigest(&registrypb.Roll{Version: roll.GetVersion(), Stop: roll.GetStop()}, "roll")
}

// requestDigest returns a SHA-256 over kind and message. The kind keeps requests
// of different types with equal encodings apart.
func requestDigest(message proto.Message, kind string) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(append([]byte(kind+"\n"), encoded...))
	return sum[:]
}

func (s *state) submit(submit *registrypb.Submit) Result {
	if submit.GetExpectedVersion() != s.newest.GetVersion() {
		return s.conflict(submit.GetExpectedVersion() + 1)
	}
	accepted := &registrypb.Accepted{
		Version:      submit.GetExpectedVersion() + 1,
		Digest:       submit.GetDigest(),
		Content:      submit.GetContent(),
		Signatures:   submit.GetSignatures(),
		SubmissionId: submit.GetSubmissionId(),
		UnixMs:       submit.GetUnixMs(),
	}
	s.newest = accepted
	s.addToHistory(accepted)
	return Result{Code: CodeAccepted, Version: accepted.Version, Digest: accepted.Digest}
}

// conflict returns a CodeConflict result with the bundle that was accepted as
// version, or with the newest bundle if the history doesn't hold that version.
func (s *state) conflict(version uint64) Result {
	reported := s.newest
	for _, accepted := range s.history {
		if accepted.GetVersion() == version {
			reported = accepted
		}
	}
	return Result{Code: CodeConflict, Version: reported.GetVersion(), Digest: reported.GetDigest()}
}

// addToHistory adds a bundle without its content to the history and drops the
// oldest entry above maxHistory.
func (s *state) addToHistory(accepted *registrypb.Accepted) {
	entry := &registrypb.Accepted{
		Version:      accepted.Version,
		Digest:       accepted.Digest,
		SubmissionId: accepted.SubmissionId,
		UnixMs:       accepted.UnixMs,
	}
	s.history = append(s.history, entry)
	if len(s.history) > maxHistory {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxHistory)
	}
}

func (s *state) setRoll(roll *registrypb.Roll) Result {
	if s.newest == nil || roll.GetVersion() != s.newest.GetVersion() {
		return Result{Code: CodeConflict, Version: s.newest.GetVersion(), Digest: s.newest.GetDigest()}
	}
	s.rolled = s.newest
	s.roll = &registrypb.RollState{Version: roll.GetVersion(), Stopped: roll.GetStop(), UnixMs: roll.GetUnixMs()}
	return Result{Code: CodeAccepted, Version: s.newest.GetVersion(), Digest: s.newest.GetDigest()}
}

// setEpoch starts the next ledger epoch if the expected number is that of the
// newest epoch. A resend, with the same expected number and holders as the newest
// epoch was started with, is accepted and changes nothing.
func (s *state) setEpoch(command *registrypb.SetEpoch) Result {
	current := s.epoch()
	holders := slices.Clone(command.GetHolders())
	slices.SortFunc(holders, func(a, b *registrypb.EpochHolder) int { return cmp.Compare(a.GetMemberId(), b.GetMemberId()) })
	isResend := current.GetNumber() == command.GetExpectedNumber()+1 && slices.EqualFunc(holders, current.GetHolders(), isSameHolder)
	if isResend {
		return Result{Code: CodeAccepted, Epoch: current.GetNumber()}
	}
	if current.GetNumber() != command.GetExpectedNumber() {
		return Result{Code: CodeConflict, Epoch: current.GetNumber()}
	}
	next := &registrypb.Epoch{Number: current.GetNumber() + 1, Holders: holders}
	s.epochs = append(s.epochs, next)
	s.epochs = s.epochs[max(0, len(s.epochs)-maxEpochs):]
	return Result{Code: CodeAccepted, Epoch: next.Number}
}

// epoch returns the newest ledger epoch, nil if there is none yet.
func (s *state) epoch() *registrypb.Epoch {
	if len(s.epochs) == 0 {
		return nil
	}
	return s.epochs[len(s.epochs)-1]
}

func isSameHolder(a, b *registrypb.EpochHolder) bool {
	return a.GetMemberId() == b.GetMemberId() && a.GetAddress() == b.GetAddress()
}

// putControlVM adds a control VM, or replaces the one with the same name.
func (s *state) putControlVM(vm *registrypb.ControlVM) Result {
	for i, existing := range s.vms {
		if existing.GetName() != vm.GetName() {
			continue
		}
		if !proto.Equal(existing, vm) {
			s.vms[i] = vm
			s.vmsRevision++
		}
		return Result{Code: CodeAccepted}
	}
	if len(s.vms) >= maxControlVMs {
		return Result{Code: CodeRefused}
	}
	s.vms = append(s.vms, vm)
	s.vmsRevision++
	return Result{Code: CodeAccepted}
}

// putRoutes stores a table with a higher version than the stored one. A table
// with the same or a lower version is acknowledged and changes nothing, even if
// its content differs. The result has the version of the stored table.
func (s *state) putRoutes(table *registrypb.RouteTable) Result {
	if table.GetVersion() > s.routes.GetVersion() {
		s.routes = table
	}
	return Result{Code: CodeAccepted, Version: s.routes.GetVersion()}
}

func (s *state) removeControlVM(name string) Result {
	previousCount := len(s.vms)
	s.vms = slices.DeleteFunc(s.vms, func(vm *registrypb.ControlVM) bool { return vm.GetName() == name })
	if len(s.vms) != previousCount {
		s.vmsRevision++
	}
	return Result{Code: CodeAccepted}
}

// answerLog holds the newest answers, at most limit.
type answerLog struct {
	limit int
	// answers are ordered by age, oldest first.
	answers []*registrypb.Answer
	byID    map[string]*registrypb.Answer
}

func (l *answerLog) find(id string) *registrypb.Answer { return l.byID[id] }

func (l *answerLog) add(answer *registrypb.Answer) {
	if l.byID == nil {
		l.byID = map[string]*registrypb.Answer{}
	}
	l.answers = append(l.answers, answer)
	l.byID[answer.GetSubmissionId()] = answer
	if len(l.answers) > l.limit {
		delete(l.byID, l.answers[0].GetSubmissionId())
		l.answers = slices.Delete(l.answers, 0, 1)
	}
}

// replace sets the answers, which must be ordered by age, oldest first.
func (l *answerLog) replace(answers []*registrypb.Answer) {
	l.answers, l.byID = nil, nil
	for _, answer := range answers {
		l.add(answer)
	}
}
