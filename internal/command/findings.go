package command

import "godwityoke.example/godwityoke/internal/jsonc"

// withoutFindings takes the result of reading a file. It returns the mistakes
// that were found in the file as the error.
func withoutFindings[T any](loaded *T, findings jsonc.Findings, err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return loaded, nil
}
