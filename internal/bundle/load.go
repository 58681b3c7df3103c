package bundle

import (
	"time"

	"godwityoke.example/godwityoke/internal/jsonc"
)

// Defaults returns a bundle with the limits that a file may leave out.
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

// Load reads and checks a bundle file. The error is set only when the file
// cannot be read; mistakes in it are returned as findings.
func Load(file string) (*Bundle, jsonc.Findings, error) {
	loaded := Defaults()
	doc, err := jsonc.DecodeFile(file, &loaded)
	if err != nil {
		return nil, nil, err
	}
	check(doc, &loaded)
	return &loaded, doc.Findings(), nil
}

// Parse checks a bundle given as text; name stands for the file in findings.
func Parse(name string, text []byte) (*Bundle, jsonc.Findings) {
	loaded := Defaults()
	doc := jsonc.Decode(name, text, &loaded)
	check(doc, &loaded)
	return &loaded, doc.Findings()
}
