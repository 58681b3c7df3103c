package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/gateway"
	"godwityoke.example/godwityoke/internal/site"
)

const (
	// explainTimeout is how long "route explain" waits for the VM.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes bounds the answer: 10,000 servers with 400 bytes each.
	maxExplanationBytes = 4 << 20
)

// RouteArguments holds the subcommands of "route".
type RouteArguments struct {
	Explain *RouteExplainArguments `arg:"subcommand:explain" help:"show where a request would go now, and why, without sending it"`
}

// run runs the subcommand and returns its exit code, or false if there is none.
func (a *RouteArguments) run(output Output) (code int, known bool) {
	if a.Explain != nil {
		return a.Explain.run(output), true
	}
	return 0, false
}

// RouteExplainArguments are the arguments of "route explain".
type RouteExplainArguments struct {
	Address      string `arg:"--address,required" placeholder:"HOST[:PORT]" help:"internal address of any VM of the platform; the port is that of its metrics [default port: 9464]"`
	Method       string `arg:"--method" default:"POST" help:"method of the request"`
	Host         string `arg:"--host,required" help:"host of the request"`
	Path         string `arg:"--path,required" help:"path of the request"`
	Team         string `arg:"--team" help:"name of the team whose key the request has"`
	PromptTokens int    `arg:"--prompt-tokens" help:"size of the prompt"`
	AnswerTokens int    `arg:"--answer-tokens" help:"maximum size of the answer"`
	JSON         bool   `arg:"--json" help:"print the answer as JSON"`
}

func (a *RouteExplainArguments) run(output Output) int {
	address, err := metricsAddress(a.Address)
	request := gateway.PreviewRequest{
		Method: a.Method, Host: a.Host, Path: a.Path, Team: a.Team, PromptTokens: a.PromptTokens, AnswerTokens: a.AnswerTokens,
	}
	if err == nil {
		err = site.CheckExplainRequest(request)
	}
	if err != nil {
		fmt.Fprintln(output.Err, "error:", err)
		return ExitUsage
	}
	answer, err := fetchExplanation(address, request)
	var explanation site.Explanation
	if err == nil {
		err = json.Unmarshal(answer, &explanation)
	}
	if err != nil {
		fmt.Fprintln(output.Err, "error:", err)
		if errors.Is(err, errBadQuestion) {
			return ExitUsage
		}
		return ExitFailure
	}
	if a.JSON {
		_, _ = output.Out.Write(answer)
		return ExitOK
	}
	printExplanation(output.Out, &explanation)
	return ExitOK
}

// metricsAddress returns the address with the port of the metrics if it has none.
func metricsAddress(given string) (string, error) {
	address := given
	if _, _, err := net.SplitHostPort(address); err != nil {
		address = net.JoinHostPort(strings.Trim(address, "[]"), strconv.Itoa(site.MetricsPort))
	}
	host, port, err := net.SplitHostPort(address)
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || host == "" || portErr != nil || number == 0 {
		return "", fmt.Errorf("address: %q is not of the form HOST or HOST:PORT", given)
	}
	return address, nil
}

// errBadQuestion means that the VM refuses the question as it is, which one of another version may do.
var errBadQuestion = errors.New("the VM refuses the question")

func fetchExplanation(address string, request gateway.PreviewRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: site.ExplainPath, RawQuery: site.ExplainQuery(request).Encode()}
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(get)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusBadRequest {
		return nil, fmt.Errorf("%w: %s", errBadQuestion, strings.TrimSpace(string(body)))
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(address + " answers " + response.Status + ": " + strings.TrimSpace(string(body)))
	}
	return body, nil
}

// printExplanation prints an explanation as text. Errors of the writer are ignored, as for all output.
func printExplanation(out io.Writer, e *site.Explanation) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("asked: %s in zone %s, route table %d in force for %d ms, last heard of its control VM %d ms ago", e.VM, e.Zone, e.TableVersion, e.TableAgeMs, e.SilentMs)
	if !e.Decides {
		line("this VM does not place requests now, so the following is its estimate; ask %s", orUnknown(e.Ask))
	}
	for _, zone := range slices.Sorted(maps.Keys(e.Evacuated)) {
		line("zone %s: evacuated since %s", zone, e.Evacuated[zone].UTC().Format(time.RFC3339))
	}
	for _, check := range e.Checks {
		result := "passed"
		if !check.Passed {
			result = "FAILED"
		}
		line("check %s: %s: %s", check.Name, result, check.Text)
	}
	if e.Service != "" {
		line("service: %s", e.Service)
	}
	for _, service := range slices.Sorted(maps.Keys(e.Split)) {
		line("split: %s weight %d", service, e.Split[service])
	}
	if p := e.Placement; p != nil {
		for _, c := range p.Candidates {
			reason := c.PassedOver
			if c.Role != "" {
				reason = "chosen as " + c.Role
			}
			line("server %s zone=%s slots=%d/%d ready_ms=%d cold_ms=%d: %s", c.Server, c.Zone, c.Taken, c.Slots, c.ReadyMs, c.ColdMs, reason)
		}
		line("queue: %d wait, %d of about this size ahead, expected wait %d ms, %d of %d slots taken", p.Queue.Waiting, p.Queue.Ahead, p.Queue.ExpectedWaitMs, p.Queue.SlotsTaken, p.Queue.Slots)
		if p.Queued {
			line("result: the request would wait for a server")
		} else if p.Server != "" {
			line("result: the request would go to %s, with %d prefill helpers", p.Server, len(p.Helpers))
		}
	}
	if e.Refused != "" {
		line("result: the request would be refused: %s; Retry-After %d ms", e.Refused, e.RetryAfterMs)
	}
}

func orUnknown(address string) string {
	if address == "" {
		return "the leader, which it does not know"
	}
	return address
}
