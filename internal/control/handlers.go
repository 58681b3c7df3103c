package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
	"godwityoke.example/godwityoke/internal/replica"
)

// readTimeout limits the wait for the read barrier.
const readTimeout = time.Second

// Handler returns the HTTP handler of the operators' JSON API.
func (c *Control) Handler() http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HTTPErrorHandler = c.writeError
	router.Use(middleware.BodyLimit(fmt.Sprintf("%dB", operatorapi.MaxRequestBytes)))
	router.POST(operatorapi.PathSubmit, c.handleSubmit)
	router.POST(operatorapi.PathRoll, c.handleRoll)
	router.GET(operatorapi.PathStatus, c.handleStatus)
	router.GET(operatorapi.PathNewest, c.handleNewest)
	router.GET(operatorapi.PathVMs, c.handleListVMs)
	router.POST(operatorapi.PathVMs, c.handleAddVM)
	router.DELETE(operatorapi.PathVMs+"/:name", c.handleRemoveVM)
	return router
}

func (c *Control) handleSubmit(ctx echo.Context) error {
	request := &operatorapi.SubmitRequest{}
	if err := ctx.Bind(request); err != nil {
		return badRequest(err)
	}
	if !c.options.Group.Leadership().IsLeader {
		return replica.ErrNotLeader
	}
	if findings := validateSubmission(request, c.options.Node.Keys()); len(findings) > 0 {
		reply := operatorapi.SubmitReply{Result: registry.Result{Code: registry.CodeRefused}, Findings: findings}
		return ctx.JSON(http.StatusOK, reply)
	}
	command, err := submitCommand(request, time.Now())
	if err != nil {
		return badRequest(err)
	}
	result, err := c.propose(ctx.Request().Context(), command)
	if err != nil {
		return err
	}
	observe.Log(c.options.Log, observe.SubmissionAnswered).Str("submission", request.SubmissionID).
		Str("code", string(result.Code)).Uint64("version", result.Version).Str("digest", result.Digest).Send()
	return ctx.JSON(http.StatusOK, operatorapi.SubmitReply{Result: result})
}

func (c *Control) handleRoll(ctx echo.Context) error {
	request := &operatorapi.RollRequest{}
	if err := ctx.Bind(request); err != nil {
		return badRequest(err)
	}
	roll := &registrypb.Roll{
		SubmissionId: request.SubmissionID, Version: request.Version, Stop: request.Stop, UnixMs: time.Now().UnixMilli(),
	}
	result, err := c.propose(ctx.Request().Context(), &registrypb.Command{Kind: &registrypb.Command_Roll{Roll: roll}})
	if err != nil {
		return err
	}
	observe.Log(c.options.Log, observe.RollAnswered).Str("submission", request.SubmissionID).Bool("stop", request.Stop).
		Str("code", string(result.Code)).Uint64("version", result.Version).Send()
	return ctx.JSON(http.StatusOK, operatorapi.SubmitReply{Result: result})
}

// readBarrier ensures that this VM is the leader and has applied all entries that
// were committed before the call, so that reads are linearizable.
func (c *Control) readBarrier(ctx context.Context) error {
	if !c.options.Group.Leadership().IsLeader {
		return replica.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.options.Group.ReadBarrier(ctx)
}

func (c *Control) handleStatus(ctx echo.Context) error {
	if err := c.readBarrier(ctx.Request().Context()); err != nil {
		return err
	}
	return ctx.JSON(http.StatusOK, c.status(time.Now()))
}

// status reports which bundle the entry VMs and control VMs have in force at the time
// now, and the progress of the roll.
func (c *Control) status(now time.Time) *operatorapi.Status {
	leadership := c.options.Group.Leadership()
	status := &operatorapi.Status{Leader: leadership.LeaderName, Term: leadership.Term}
	if newest := c.options.Registry.Newest(); newest != nil {
		status.Version, status.Digest = newest.Version, newest.Digest
		status.SubmissionID, status.AcceptedAt = newest.SubmissionID, newest.AcceptedAt
	}
	expected := append([]ExpectedVM(nil), c.options.EntryVMs...)
	for _, vm := range c.controlVMs() {
		expected = append(expected, ExpectedVM{Name: vm.Name, Zone: vm.Zone, Control: true})
	}
	status.Zones = zoneStatuses(status.Version, expected, c.options.Node.Reports(), now)
	if c.options.Orders != nil {
		status.Roll = c.options.Orders.Status()
	}
	return status
}

func (c *Control) handleNewest(ctx echo.Context) error {
	if err := c.readBarrier(ctx.Request().Context()); err != nil {
		return err
	}
	newest := c.options.Registry.Newest()
	if newest == nil {
		return ctx.JSON(http.StatusOK, operatorapi.NewestReply{})
	}
	content, err := bundle.Decompress(newest.Compressed, nil)
	if err != nil {
		return err
	}
	return ctx.JSON(http.StatusOK, operatorapi.NewestReply{Version: newest.Version, Digest: newest.Digest, Content: content})
}

func badRequest(err error) error {
	return &operatorapi.ErrorReply{Code: operatorapi.ErrorBadRequest, Message: err.Error()}
}

// writeError sends the ErrorReply for err, unless the response has begun already.
func (c *Control) writeError(err error, ctx echo.Context) {
	if ctx.Response().Committed {
		return
	}
	reply := c.errorReply(err)
	_ = ctx.JSON(reply.Code.Status(), reply)
}

// errorReply returns the reply for err. An error that doesn't tell whether the
// request took effect becomes ErrorOutcomeUnknown, after which the client resends the
// request.
func (c *Control) errorReply(err error) *operatorapi.ErrorReply {
	var reply *operatorapi.ErrorReply
	var httpError *echo.HTTPError
	switch {
	case errors.As(err, &reply):
		return reply
	case errors.As(err, &httpError):
		return &operatorapi.ErrorReply{Code: operatorapi.ErrorBadRequest, Message: fmt.Sprint(httpError.Message)}
	case errors.Is(err, registry.ErrInvalidCommand):
		return &operatorapi.ErrorReply{Code: operatorapi.ErrorBadRequest, Message: err.Error()}
	case errors.Is(err, replica.ErrQuorumAtRisk), errors.Is(err, replica.ErrOtherGroup),
		errors.Is(err, replica.ErrNameMismatch), errors.Is(err, replica.ErrLastVoter), errors.Is(err, replica.ErrMemberExists):
		return &operatorapi.ErrorReply{Code: operatorapi.ErrorRefused, Message: err.Error()}
	case errors.Is(err, replica.ErrNotLeader):
		return c.notLeader(err)
	}
	return &operatorapi.ErrorReply{Code: operatorapi.ErrorOutcomeUnknown, Message: err.Error()}
}

// notLeader returns an ErrorNotLeader reply that names the leader if it is known.
func (c *Control) notLeader(err error) *operatorapi.ErrorReply {
	reply := &operatorapi.ErrorReply{Code: operatorapi.ErrorNotLeader, Message: err.Error()}
	leadership := c.options.Group.Leadership()
	for _, vm := range c.controlVMs() {
		if vm.Name == leadership.LeaderName && vm.Name != c.options.VM {
			reply.LeaderName, reply.LeaderOperators = vm.Name, vm.Operators
		}
	}
	return reply
}
