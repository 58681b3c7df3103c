package control

import (
	"bytes"
	"context"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

// validateSubmission returns the problems of a submission, nil if it is valid:
// content that is too large, invalid or not in canonical form, and invalid or
// missing signatures.
func validateSubmission(request *operatorapi.SubmitRequest, keys *bundle.Keyring) []string {
	var findings []string
	if len(request.Content) > bundle.MaxContentBytes {
		return []string{bundle.ErrTooLarge.Error()}
	}
	parsed, parseFindings := bundle.Parse("bundle", request.Content)
	for _, finding := range parseFindings {
		findings = append(findings, finding.String())
	}
	if len(parseFindings) == 0 {
		canonical, err := bundle.Canonical(parsed)
		if err != nil || !bytes.Equal(canonical, request.Content) {
			findings = append(findings, "bundle: the content is not in canonical form; use \"godwityoke bundle submit\" of this version")
		}
	}
	statement := bundle.Statement{Version: request.ExpectedVersion + 1, Digest: bundle.Digest(request.Content)}
	verified := keys.Verify(statement, request.Signatures)
	if len(verified.Findings) > 0 {
		findings = append(findings, strings.Split(verified.Findings.Error(), "\n")...)
	}
	return findings
}

// submitCommand returns the command for a submission that validateSubmission
// accepted. now is the time of the proposal.
func submitCommand(request *operatorapi.SubmitRequest, now time.Time) (*registrypb.Command, error) {
	compressed, err := bundle.Compress(request.Content, nil)
	if err != nil {
		return nil, err
	}
	submit := &registrypb.Submit{
		SubmissionId:    request.SubmissionID,
		ExpectedVersion: request.ExpectedVersion,
		Digest:          bundle.Digest(request.Content),
		Content:         compressed,
		UnixMs:          now.UnixMilli(),
	}
	for _, signature := range request.Signatures {
		submit.Signatures = append(submit.Signatures, &registrypb.Signature{Key: signature.Key, Value: signature.Value})
	}
	return &registrypb.Command{Kind: &registrypb.Command_Submit{Submit: submit}}, nil
}

// propose replicates command and returns its result once this VM has applied it. It
// waits for at most proposeTimeout. After an error other than ErrInvalidCommand
// or replica.ErrNotLeader the command may still take effect.
func (c *Control) propose(ctx context.Context, command *registrypb.Command) (registry.Result, error) {
	encoded, err := registry.Encode(command)
	if err != nil {
		return registry.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer, err := c.options.Group.Propose(ctx, encoded)
	if err != nil {
		return registry.Result{}, err
	}
	return registry.DecodeResult(answer)
}
