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
	// maxHistory bounds the accepted bundles on record, without content.
	maxHistory = 4096
	// maxAcceptedAnswers bounds the recorded answers to accepted commands.
	maxAcceptedAnswers = 4096
	// maxRefusedAnswers bounds the recorded answers to refused commands. They
	// are kept apart so that refused resends push out no accepted answer.
	maxRefusedAnswers = 1024
)

// state is the replicated state. It changes by execute only.
type state struct {
	newest   *registrypb.Accepted
	rolled   *registrypb.Accepted
	roll     *registrypb.RollState
	history  []*registrypb.Accepted
	accepted answerLog
	refused  answerLog
	vms      []*registrypb.ControlVM
	// vmsRevision grows with each change of vms.
	vmsRevision uint64
	epochs      []*registrypb.Epoch
	// routes is the route table with the highest version, nil before the first.
	routes *registrypb.RouteTable
}

func newState() *state {
	return &state{
		accepted: answerLog{limit: maxAcceptedAnswers},
		refused:  answerLog{limit: maxRefusedAnswers},
	}
}

// execute applies command and returns its result. It depends on nothing but
// the state and the command.
func (s *state) execute(command *registrypb.Command) Result {
	switch kind := command.Kind.(type) {
	case *registrypb.Command_Submit:
		return s.once(kind.Submit.GetSubmissionId(), submitDigest(kind.Submit), func() Result { return s.submit(kind.Submit) })
	case *registrypb.Command_Roll:
		return s.once(kind.Roll.GetSubmissionId(), rollDigest(kind.Roll), func() Result { return s.setRoll(kind.Roll) })
	case *registrypb.Command_SetEpoch:
		return s.setEpoch(kind.SetEpoch)
	case *registrypb.Command_PutControlVm:
		return s.putControlVM(kind.PutControlVm.GetVm())
	case *registrypb.Command_RemoveControlVm:
		return s.removeControlVM(kind.RemoveControlVm.GetName())
	case *registrypb.Command_PutRoutes:
		return s.putRoutes(kind.PutRoutes.GetTable())
	}
	return Result{Code: CodeRefused}
}

// once runs action for the first command with id and records its result; the
// same command again gets the same result.
func (s *state) once(id string, request []byte, action func() Result) Result {
	if answer := s.findAnswer(id); answer != nil {
		first := resultOf(answer.GetResult())
		if bytes.Equal(answer.GetRequest(), request) {
			return first
		}
		return Result{Code: CodeIDReused, Version: first.Version, Digest: first.Digest}
	}
	result := action()
	answer := &registrypb.Answer{SubmissionId: id, Request: request, Result: result.message()}
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

// submitDigest covers what an operator asked for: not the signatures, which a
// resend may carry in another order, and not the time.
func submitDigest(submit *registrypb.Submit) []byte {
	return requestDigest(&registrypb.Submit{ExpectedVersion: submit.GetExpectedVersion(), Digest: submit.GetDigest()}, "submit")
}

func rollDigest(roll *registrypb.Roll) []byte {
	return requestDigest(&registrypb.Roll{Version: roll.GetVersion(), Stop: roll.GetStop()}, "roll")
}

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
	s.remember(accepted)
	return Result{Code: CodeAccepted, Version: accepted.Version, Digest: accepted.Digest}
}

// conflict names the bundle that was accepted as version, or the newest one
// when that is not on record.
func (s *state) conflict(version uint64) Result {
	found := s.newest
	for _, accepted := range s.history {
		if accepted.GetVersion() == version {
			found = accepted
		}
	}
	return Result{Code: CodeConflict, Version: found.GetVersion(), Digest: found.GetDigest()}
}

func (s *state) remember(accepted *registrypb.Accepted) {
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

func (s *state) setEpoch(command *registrypb.SetEpoch) Result {
	current := s.epoch()
	holders := slices.Clone(command.GetHolders())
	slices.SortFunc(holders, func(a, b *registrypb.EpochHolder) int { return cmp.Compare(a.GetMemberId(), b.GetMemberId()) })
	resent := current.GetNumber() == command.GetExpectedNumber()+1 && slices.EqualFunc(holders, current.GetHolders(), sameHolder)
	if resent {
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

// epoch returns the newest ledger epoch, nil before the first.
func (s *state) epoch() *registrypb.Epoch {
	if len(s.epochs) == 0 {
		return nil
	}
	return s.epochs[len(s.epochs)-1]
}

func sameHolder(a, b *registrypb.EpochHolder) bool {
	return a.GetMemberId() == b.GetMemberId() && a.GetAddress() == b.GetAddress()
}

func (s *state) putControlVM(vm *registrypb.ControlVM) Result {
	for i, known := range s.vms {
		if known.GetName() != vm.GetName() {
			continue
		}
		if !proto.Equal(known, vm) {
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

// putRoutes keeps the table with the highest version. An older one, or other
// content under the version that stands, is acknowledged and changes nothing.
func (s *state) putRoutes(table *registrypb.RouteTable) Result {
	if table.GetVersion() > s.routes.GetVersion() {
		s.routes = table
	}
	return Result{Code: CodeAccepted, Version: s.routes.GetVersion()}
}

func (s *state) removeControlVM(name string) Result {
	before := len(s.vms)
	s.vms = slices.DeleteFunc(s.vms, func(vm *registrypb.ControlVM) bool { return vm.GetName() == name })
	if len(s.vms) != before {
		s.vmsRevision++
	}
	return Result{Code: CodeAccepted}
}

// answerLog keeps the newest answers up to a limit.
type answerLog struct {
	limit   int
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

func (l *answerLog) replace(answers []*registrypb.Answer) {
	l.answers, l.byID = nil, nil
	for _, answer := range answers {
		l.add(answer)
	}
}
