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
	// collectWait is the maximum time to wait until engines free their memory. Entry VMs
	// compare the attempts that engines hold with their own every 10 s and cancel
	// the abandoned ones.
	collectWait = 15 * time.Second
	// collectTimeout is the timeout of one query of a stand-in.
	collectTimeout = 5 * time.Second
	// collectInterval is the time between two queries of the engines' memory.
	collectInterval = 200 * time.Millisecond
)

// EvidenceSources names the stand-ins and files that hold the evidence of a run
// on separate processes.
type EvidenceSources struct {
	// Engines and Services are "ip:port" of stand-ins. Those that do not
	// answer are omitted from the evidence.
	Engines  []string
	Services []string
	// Records are files to which services wrote the idempotency key of each
	// run, one per line. They replace the counters of services that were killed.
	Records []string
	// EntryVMsKilled is copied to the evidence.
	EntryVMsKilled bool
}

// Collect waits until the engines hold no memory, ctx ends or collectWait has passed,
// and returns the evidence. It returns an error if none of the engines answers or a
// record cannot be read.
func (s EvidenceSources) Collect(ctx context.Context) (Evidence, error) {
	deadline := time.Now().Add(collectWait)
	for {
		evidence := Evidence{AnswerRuns: map[uint64]int64{}, KeyRuns: map[string]int64{}, EntryVMsKilled: s.EntryVMsKilled}
		answered := s.queryEngines(ctx, &evidence)
		if evidence.SumCounters().MemoryLeftTokens > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
			time.Sleep(collectInterval)
			continue
		}
		if answered == 0 && len(s.Engines) > 0 {
			return evidence, errors.New("none of the engines answered")
		}
		s.queryServices(ctx, &evidence)
		return evidence, s.readRecords(&evidence)
	}
}

// queryEngines adds the counters and runs of each engine to evidence and returns
// how many engines answered.
func (s EvidenceSources) queryEngines(ctx context.Context, evidence *Evidence) int {
	answered := 0
	for _, address := range s.Engines {
		counters := EngineEvidence{Server: address}
		var runs control.RunList
		if get(ctx, address, control.PathCounters, &counters.Counters) != nil || get(ctx, address, control.PathRuns, &runs) != nil {
			continue
		}
		answered++
		evidence.Engines = append(evidence.Engines, counters)
		for seed, count := range runs.Runs {
			evidence.AnswerRuns[seed] += count
		}
	}
	return answered
}

func (s EvidenceSources) queryServices(ctx context.Context, evidence *Evidence) {
	for _, address := range s.Services {
		var counters service.Counters
		if get(ctx, address, control.PathCounters, &counters) != nil {
			continue
		}
		for key, count := range counters.Runs {
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
		return fmt.Errorf("query stand-in %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("query stand-in %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("query stand-in %s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("query stand-in %s: %w", address, err)
	}
	return nil
}
