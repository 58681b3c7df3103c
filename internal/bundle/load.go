package bundle

import (
	"time"

	"godwityoke.example/godwityoke/internal/jsonc"
)

// Defaults returns a bundle with the default limits, for limits that a file omits.
func Defaults() Bundle {
	return Bundle{
		Limits: Limits{
			MaxBody:             16 << 20,
			MaxAnswerTokens:     4096,
			MinTimeLimit:        jsonc.Duration(50 * time.Millisecond),
			ShortReservePercent: 20,
			RetryBudgetPercent:  10,
			MaxEjectedPercent:   50,
			ClaimRetention:      jsonc.Duration(24 * time.Hour),
		},
		Roll: RollLimits{
			WeightStoreBytesPerSecond: 1 << 30,
			MaxParallelLoads:          1,
			MaxUnavailablePercent:     25,
		},
	}
}

// Load reads and checks a bundle file. It returns an error only if the file can't
// be read; problems of its content are returned as findings.
func Load(file string) (*Bundle, jsonc.Findings, error) {
	loaded := Defaults()
	doc, err := jsonc.DecodeFile(file, &loaded)
	if err != nil {
		return nil, nil, err
	}
	check(doc, &loaded)
	return &loaded, doc.Findings(), nil
}

// Parse decodes and checks the text of a bundle. Findings give name as the file.
func Parse(name string, text []byte) (*Bundle, jsonc.Findings) {
	loaded := Defaults()
	doc := jsonc.Decode(name, text, &loaded)
	check(doc, &loaded)
	return &loaded, doc.Findings()
}
