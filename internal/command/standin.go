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

// StandinArguments holds the subcommands of "standin".
type StandinArguments struct {
	Engine  *StandinEngineArguments  `arg:"subcommand:engine" help:"run a stand-in for a model engine"`
	Service *StandinServiceArguments `arg:"subcommand:service" help:"run a stand-in for a plain service"`
}

// commonStandinArguments are the flags of both stand-ins.
type commonStandinArguments struct {
	ID        string            `arg:"--id,required" help:"id of the backend server"`
	Zone      string            `arg:"--zone,required" help:"availability zone of the backend server"`
	Listen    string            `arg:"--listen" default:"127.0.0.1:0" help:"ip:port to listen on for HTTP; port 0 takes a free port"`
	Entry     []string          `arg:"--entry,separate" help:"ip:port at which an entry VM listens for backend servers; can be repeated"`
	LeaveWait time.Duration     `arg:"--leave-wait" default:"3s" help:"minimum time between the announcement that the server is draining and its end"`
	StopLimit time.Duration     `arg:"--stop-limit" default:"10m" help:"maximum duration of a planned stop"`
	LogFormat observe.LogFormat `arg:"--log-format" default:"json" help:"format of the log lines: json or console"`
	LogLevel  string            `arg:"--log-level" default:"info" help:"minimum level of the log lines, as named by zerolog"`
}

// StandinEngineArguments are the arguments of "standin engine".
type StandinEngineArguments struct {
	commonStandinArguments
	Model          []string      `arg:"--model,separate,required" help:"model to serve, as NAME@VERSION or NAME@VERSION:ADAPTER,ADAPTER; can be repeated"`
	Role           string        `arg:"--role" default:"mixed" help:"role of the engine: mixed, prefill or decode"`
	BytesPerToken  int           `arg:"--bytes-per-token" default:"4" help:"mean length of a prompt token in bytes"`
	MemoryTokens   int64         `arg:"--memory-tokens" default:"400000" help:"capacity of the KV cache in tokens"`
	MaxRunning     int           `arg:"--max-running" default:"64" help:"maximum number of attempts in a batch"`
	StepTime       time.Duration `arg:"--step" default:"4ms" help:"duration of a step without tokens"`
	PrefillToken   time.Duration `arg:"--prefill-token" default:"5us" help:"time that each prefilled token adds to a step"`
	DecodeToken    time.Duration `arg:"--decode-token" default:"50us" help:"time that each generated token adds to a step"`
	ChunkTokens    int64         `arg:"--chunk-tokens" default:"2048" help:"maximum number of tokens that a step prefills"`
	LoadLag        time.Duration `arg:"--load-lag" default:"300ms" help:"age of the load values in announcements"`
	LoadTime       time.Duration `arg:"--load-time" default:"500ms" help:"duration of an order to load a model"`
	IgnoresFencing bool          `arg:"--ignores-fencing" help:"accept orders with an outdated fencing token"`
}

// StandinServiceArguments are the arguments of "standin service".
type StandinServiceArguments struct {
	commonStandinArguments
	Service  string        `arg:"--service,required" help:"name of the plain service"`
	WorkTime time.Duration `arg:"--work-time" default:"5ms" help:"duration of a call"`
	Record   string        `arg:"--record" help:"file to which the idempotency key of each call is appended"`
}

// standin is a running stand-in of either kind.
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
	config.Limits.MemoryTokens, config.Limits.MaxRunning = a.MemoryTokens, a.MaxRunning
	config.Speed.StepTime, config.Speed.PrefillTimePerToken = a.StepTime, a.PrefillToken
	config.Speed.DecodeTimePerToken, config.Speed.ChunkTokens = a.DecodeToken, a.ChunkTokens
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

// serve runs a stand-in until SIGTERM or an interrupt. The first signal starts a planned
// stop, in which the stand-in drains. A second signal, or the stop limit, ends it at once.
func (a *commonStandinArguments) serve(output Output, start func(zerolog.Logger) (standin, error)) int {
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
		return ExitFailure
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
		return ExitFailure
	}
	return ExitOK
}

// parseModels parses models given as NAME@VERSION or NAME@VERSION:ADAPTER,ADAPTER.
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
