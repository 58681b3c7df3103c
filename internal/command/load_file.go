package command

import "godwityoke.example/godwityoke/internal/jsonc"

// findingsAsError takes the results of a function that loads a file. If the file has
// mistakes, it returns them as the error.
func findingsAsError[T any](loaded *T, findings jsonc.Findings, err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return loaded, nil
}
