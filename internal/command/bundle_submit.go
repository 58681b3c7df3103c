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
	File         string `arg:"positional,required" help:"bundle file, JSON with comments"`
	Signatures   string `arg:"--signatures" help:"signature file written by bundle sign [default: FILE.sig]"`
	SubmissionID string `arg:"--submission-id" help:"id of the submission; to retry a submission that got no answer, give the same id again [default: a random id]"`
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
	return output.printSubmitReply("submission", request.SubmissionID, reply)
}

// request returns the request to submit the bundle file with its signatures. It sets
// SubmissionID to a random id if none was given.
func (a *BundleSubmitArguments) request() (*operatorapi.SubmitRequest, error) {
	content, err := loadCanonical(a.File)
	if err != nil {
		return nil, err
	}
	file := signatureFileName(a.File, a.Signatures)
	signed, err := readSignatures(file)
	if err != nil {
		return nil, err
	}
	if signed.Version == 0 || signed.Digest != bundle.Digest(content) {
		return nil, fmt.Errorf("%s: %w", file, errSignatureMismatch)
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

// printSubmitReply prints the reply to a submission or a request to roll and returns the
// exit code. Kind names the request in the output.
func (o Output) printSubmitReply(kind, id string, reply *operatorapi.SubmitReply) int {
	switch reply.Code {
	case registry.CodeAccepted:
		_, _ = fmt.Fprintf(o.Out, "%s %s: accepted, version %d, digest %s\n", kind, id, reply.Version, reply.Digest)
		return ExitOK
	case registry.CodeConflict:
		_, _ = fmt.Fprintf(o.Err, "%s %s: conflict: version %d was accepted with digest %s\n", kind, id, reply.Version, reply.Digest)
	case registry.CodeIDReused:
		_, _ = fmt.Fprintf(o.Err, "%s %s: the id was used before for other content, version %d, digest %s\n", kind, id, reply.Version, reply.Digest)
	default:
		_, _ = fmt.Fprintf(o.Err, "%s %s: refused\n", kind, id)
	}
	for _, finding := range reply.Findings {
		_, _ = fmt.Fprintln(o.Err, finding)
	}
	return ExitFailure
}

// BundleRollArguments are the arguments of "bundle roll".
type BundleRollArguments struct {
	ControlVMArguments
	Version      uint64 `arg:"--version" help:"version of the bundle to roll out [default: the newest accepted version]"`
	Stop         bool   `arg:"--stop" help:"stop the roll: send no more orders to model engines"`
	SubmissionID string `arg:"--submission-id" help:"id of the request; to retry a request that got no answer, give the same id again [default: a random id]"`
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
	return output.printSubmitReply("roll", a.SubmissionID, reply)
}
