package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"godwityoke.example/godwityoke/internal/standin/control"
	"godwityoke.example/godwityoke/internal/standin/service"
)

const (
	// collectWait bounds the wait for engines to free their memory. Entry VMs
	// compare what engines hold with what is in progress every 10 s.
	collectWait = 15 * time.Second
	// collectTimeout bounds one question to a stand-in.
	collectTimeout = 5 * time.Second
	// collectInterval is the time between looks at the engines' memory.
	collectInterval = 200 * time.Millisecond
)

// EvidenceSources are where the evidence of a run on separate processes comes from.
type EvidenceSources struct {
	// Engines and Services are "ip:port" of stand-ins. Those that do not
	// answer are left out.
	Engines  []string
	Services []string
	// Records are files that services wrote their runs to. They replace the
	// counters of services that were killed.
	Records []string
	// EntryVMsKilled is passed on to Evidence.
	EntryVMsKilled bool
}

// Collect gathers the evidence once the engines hold no memory any more, or
// the wait for that is over.
func (s EvidenceSources) Collect(ctx context.Context) (Evidence, error) {
	until := time.Now().Add(collectWait)
	for {
		evidence := Evidence{AnswerRuns: map[uint64]int64{}, KeyRuns: map[string]int64{}, EntryVMsKilled: s.EntryVMsKilled}
		answered := s.askEngines(ctx, &evidence)
		if evidence.EngineTotals().MemoryLeftTokens > 0 && time.Now().Before(until) && ctx.Err() == nil {
			time.Sleep(collectInterval)
			continue
		}
		if answered == 0 && len(s.Engines) > 0 {
			return evidence, errors.New("no engine answers")
		}
		s.askServices(ctx, &evidence)
		return evidence, s.readRecords(&evidence)
	}
}

func (s EvidenceSources) askEngines(ctx context.Context, evidence *Evidence) int {
	answered := 0
	for _, address := range s.Engines {
		counted := EngineEvidence{Server: address}
		var runs control.RunList
		if get(ctx, address, control.PathCounters, &counted.Counters) != nil || get(ctx, address, control.PathRuns, &runs) != nil {
			continue
		}
		answered++
		evidence.Engines = append(evidence.Engines, counted)
		for seed, count := range runs.Runs {
			evidence.AnswerRuns[seed] += count
		}
	}
	return answered
}

func (s EvidenceSources) askServices(ctx context.Context, evidence *Evidence) {
	for _, address := range s.Services {
		var counted service.Counters
		if get(ctx, address, control.PathCounters, &counted) != nil {
			continue
		}
		for key, count := range counted.Runs {
			evidence.KeyRuns[key] += count
		}
	}
}

func (s EvidenceSources) readRecords(evidence *Evidence) error {
	for _, name := range s.Records {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("record of runs: %w", err)
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			evidence.KeyRuns[lines.Text()]++
		}
		_ = file.Close()
		if err := lines.Err(); err != nil {
			return fmt.Errorf("record of runs: %w", err)
		}
	}
	return nil
}

func get(ctx context.Context, address, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	return nil
}
