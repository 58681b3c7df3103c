package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/standin/engine"
	"godwityoke.example/godwityoke/internal/standin/service"
)

// StandinArguments are the stand-ins for backend servers.
type StandinArguments struct {
	Engine  *StandinEngineArguments  `arg:"subcommand:engine" help:"run a stand-in model engine"`
	Service *StandinServiceArguments `arg:"subcommand:service" help:"run a stand-in plain service"`
}

// standinCommon are the arguments of both stand-ins.
type standinCommon struct {
	ID        string            `arg:"--id,required" help:"server identifier"`
	Zone      string            `arg:"--zone,required" help:"availability zone"`
	Listen    string            `arg:"--listen" default:"127.0.0.1:0" help:"ip:port of the HTTP listener"`
	Entry     []string          `arg:"--entry,separate" help:"ip:port of an entry VM's backend listener; repeatable"`
	LeaveWait time.Duration     `arg:"--leave-wait" default:"3s" help:"shortest time between leaving and the end"`
	StopLimit time.Duration     `arg:"--stop-limit" default:"10m" help:"longest time of a planned stop"`
	LogFormat observe.LogFormat `arg:"--log-format" default:"json" help:"json or console"`
	LogLevel  string            `arg:"--log-level" default:"info" help:"zerolog level"`
}

// StandinEngineArguments are the arguments of "standin engine".
type StandinEngineArguments struct {
	standinCommon
	Model          []string      `arg:"--model,separate,required" help:"NAME@VERSION or NAME@VERSION:ADAPTER,ADAPTER; repeatable"`
	Role           string        `arg:"--role" default:"mixed" help:"mixed, prefill or decode"`
	BytesPerToken  int           `arg:"--bytes-per-token" default:"4" help:"average length of a prompt token"`
	Memory         int64         `arg:"--memory-tokens" default:"400000" help:"KV cache capacity in tokens"`
	MaxRunning     int           `arg:"--max-running" default:"64" help:"attempts in one batch"`
	StepBase       time.Duration `arg:"--step" default:"4ms" help:"time of a step without tokens"`
	PrefillToken   time.Duration `arg:"--prefill-token" default:"5us" help:"time for each prefill token"`
	DecodeToken    time.Duration `arg:"--decode-token" default:"50us" help:"time for each generated token"`
	Chunk          int64         `arg:"--chunk-tokens" default:"2048" help:"prefill tokens of a step"`
	LoadLag        time.Duration `arg:"--load-lag" default:"300ms" help:"age of load reports"`
	LoadTime       time.Duration `arg:"--load-time" default:"500ms" help:"time of a load order"`
	IgnoresFencing bool          `arg:"--ignores-fencing" help:"take orders with an old fencing number"`
}

// StandinServiceArguments are the arguments of "standin service".
type StandinServiceArguments struct {
	standinCommon
	Service  string        `arg:"--service,required" help:"name of the plain service"`
	WorkTime time.Duration `arg:"--work-time" default:"5ms" help:"time of a call"`
	Record   string        `arg:"--record" help:"file that receives the key of each run"`
}

// standin is what both stand-ins have in common while they run.
type standin interface {
	Address() string
	Drain(ctx context.Context) error
	Close()
}

func (a *StandinEngineArguments) run(output Output) int {
	models, err := parseModels(a.Model)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	config := engine.DefaultConfig()
	config.ServerID, config.Zone, config.Listen, config.Seeds = a.ID, a.Zone, a.Listen, a.Entry
	config.Models, config.Role, config.BytesPerToken = models, backendapi.Role(a.Role), a.BytesPerToken
	config.Limits.MemoryTokens, config.Limits.MaxRunning = a.Memory, a.MaxRunning
	config.Speed.StepTime, config.Speed.PrefillTimePerToken = a.StepBase, a.PrefillToken
	config.Speed.DecodeTimePerToken, config.Speed.ChunkTokens = a.DecodeToken, a.Chunk
	config.Reports.LoadLag, config.LoadTime = a.LoadLag, a.LoadTime
	config.ChecksFencing, config.MinDrainTime, config.ExitOnDie = !a.IgnoresFencing, a.LeaveWait, true
	return a.serve(output, func(logger zerolog.Logger) (standin, error) { return engine.Start(config, logger) })
}

func (a *StandinServiceArguments) run(output Output) int {
	config := service.DefaultConfig()
	config.ServerID, config.Zone, config.Listen, config.Seeds = a.ID, a.Zone, a.Listen, a.Entry
	config.Service, config.WorkTime, config.RecordFile = a.Service, a.WorkTime, a.Record
	config.MinDrainTime, config.ExitOnDie = a.LeaveWait, true
	return a.serve(output, func(logger zerolog.Logger) (standin, error) { return service.Start(config, logger) })
}

// serve runs a stand-in until a signal. The first signal makes it leave, a
// second one ends it at once.
func (a *standinCommon) serve(output Output, start func(zerolog.Logger) (standin, error)) int {
	logger, err := observe.NewLogger(output.Err, a.LogFormat, a.LogLevel)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitUsage
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	server, err := start(logger)
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFindings
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), a.StopLimit)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := server.Drain(ctx); err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFindings
	}
	return ExitOK
}

// parseModels reads NAME@VERSION or NAME@VERSION:ADAPTER,ADAPTER.
func parseModels(texts []string) ([]backendapi.ServedModel, error) {
	models := make([]backendapi.ServedModel, 0, len(texts))
	for _, text := range texts {
		name, rest, found := strings.Cut(text, "@")
		version, adapters, hasAdapters := strings.Cut(rest, ":")
		if !found || name == "" || version == "" {
			return nil, fmt.Errorf("model %q, allowed: NAME@VERSION or NAME@VERSION:ADAPTER,ADAPTER", text)
		}
		model := backendapi.ServedModel{Name: name, Version: version}
		if hasAdapters {
			model.Adapters = strings.Split(adapters, ",")
		}
		models = append(models, model)
	}
	return models, nil
}
