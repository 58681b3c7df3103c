package command

import (
	"crypto/rand"
	"fmt"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
)

// BundleSubmitArguments are the arguments of "bundle submit".
type BundleSubmitArguments struct {
	ControlVMArguments
	File         string `arg:"positional,required" help:"bundle file"`
	Signatures   string `arg:"--signatures" help:"file of signatures [default: FILE.sig]"`
	SubmissionID string `arg:"--submission-id" help:"id of this submission; give it again to repeat a submission whose answer was lost"`
}

func (a *BundleSubmitArguments) run(output Output) int {
	request, err := a.request()
	if err != nil {
		return output.fail(err)
	}
	client, ctx, cancel, err := a.client()
	if err != nil {
		return output.fail(err)
	}
	defer cancel()
	reply, err := client.Submit(ctx, request)
	if err != nil {
		_, _ = fmt.Fprintf(output.Err, "submission %s has no answer yet; repeat it with --submission-id %s\n", request.SubmissionID, request.SubmissionID)
		return output.fail(err)
	}
	return output.submitReply("submission", request.SubmissionID, reply)
}

func (a *BundleSubmitArguments) request() (*operatorapi.SubmitRequest, error) {
	content, err := loadContent(a.File)
	if err != nil {
		return nil, err
	}
	file := signaturesOf(a.File, a.Signatures)
	signed, err := readSignatures(file)
	if err != nil {
		return nil, err
	}
	if signed.Version == 0 || signed.Digest != bundle.Digest(content) {
		return nil, fmt.Errorf("%s: %w", file, errOtherContent)
	}
	if a.SubmissionID == "" {
		a.SubmissionID = rand.Text()
	}
	return &operatorapi.SubmitRequest{
		SubmissionID:    a.SubmissionID,
		ExpectedVersion: signed.Version - 1,
		Content:         content,
		Signatures:      signed.Signatures,
	}, nil
}

// submitReply prints the answer to a submission or a roll.
func (o Output) submitReply(what, id string, reply *operatorapi.SubmitReply) int {
	switch reply.Code {
	case registry.CodeAccepted:
		_, _ = fmt.Fprintf(o.Out, "%s %s: accepted, version %d, digest %s\n", what, id, reply.Version, reply.Digest)
		return ExitOK
	case registry.CodeConflict:
		_, _ = fmt.Fprintf(o.Err, "%s %s: conflict: version %d was accepted with digest %s\n", what, id, reply.Version, reply.Digest)
	case registry.CodeIDReused:
		_, _ = fmt.Fprintf(o.Err, "%s %s: the id was used before for other content, version %d, digest %s\n", what, id, reply.Version, reply.Digest)
	default:
		_, _ = fmt.Fprintf(o.Err, "%s %s: refused\n", what, id)
	}
	for _, finding := range reply.Findings {
		_, _ = fmt.Fprintln(o.Err, finding)
	}
	return ExitFailure
}

// BundleRollArguments are the arguments of "bundle roll".
type BundleRollArguments struct {
	ControlVMArguments
	Version      uint64 `arg:"--version" help:"version to roll [default: the newest accepted one]"`
	Stop         bool   `arg:"--stop" help:"give no more orders"`
	SubmissionID string `arg:"--submission-id" help:"id of this request; give it again to repeat a request whose answer was lost"`
}

func (a *BundleRollArguments) run(output Output) int {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return output.fail(err)
	}
	defer cancel()
	if a.Version == 0 {
		newest, err := client.Newest(ctx)
		if err != nil {
			return output.fail(err)
		}
		a.Version = newest.Version
	}
	if a.SubmissionID == "" {
		a.SubmissionID = rand.Text()
	}
	reply, err := client.Roll(ctx, &operatorapi.RollRequest{SubmissionID: a.SubmissionID, Version: a.Version, Stop: a.Stop})
	if err != nil {
		return output.fail(err)
	}
	return output.submitReply("roll", a.SubmissionID, reply)
}
