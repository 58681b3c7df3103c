package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/hedge"
	"godwityoke.example/godwityoke/internal/site"
)

const (
	// hedgeCallTimeout bounds the call to one entry VM, which answers without waiting for anything.
	hedgeCallTimeout = 5 * time.Second
	// maxHedgeReplyBytes bounds the answer of an entry VM.
	maxHedgeReplyBytes = 1 << 20
)

// HedgeArguments holds the subcommands of "hedge".
type HedgeArguments struct {
	Set  *HedgeSetArguments  `arg:"subcommand:set" help:"change the limits of running entry VMs until they end"`
	Show *HedgeShowArguments `arg:"subcommand:show" help:"show the limits of running entry VMs"`
}

// HedgeVMArguments are the flags of all subcommands of "hedge".
type HedgeVMArguments struct {
	Address []string `arg:"--address,separate,required" placeholder:"HOST[:PORT]" help:"internal address of an entry VM; can be repeated, all are called at the same time; the port is that of its metrics [default port: 9464]"`
}

// HedgeSetArguments are the arguments of "hedge set". Share and Routes are text, so that a mistake is reported with what it
// should be.
type HedgeSetArguments struct {
	HedgeVMArguments
	Share  string   `arg:"positional,required" help:"limit of the extra server time of hedged requests, as a share of the server time of all requests from 0 to 1, such as 0.02; 0 sends none from now on"`
	Routes []string `arg:"--route,separate" placeholder:"NAME=SHARE" help:"lower limit of one route; may be given several times, and replaces the limits of all routes [default: they stay]"`
}

// HedgeShowArguments are the arguments of "hedge show".
type HedgeShowArguments struct {
	HedgeVMArguments
}

// run runs the subcommand and returns its exit code, or false if there is none.
func (a *HedgeArguments) run(output Output) (code int, known bool) {
	switch {
	case a.Set != nil:
		return a.Set.run(output), true
	case a.Show != nil:
		return a.Show.call(output, http.MethodGet, nil), true
	}
	return ExitUsage, false
}

func (a *HedgeSetArguments) run(output Output) int {
	limits, err := parseHedgeLimits("SHARE", a.Share, "--route", a.Routes)
	if err != nil {
		_, _ = fmt.Fprintln(output.Err, "error:", err)
		return ExitUsage
	}
	change := site.HedgeLimits{Share: &limits.Share}
	if len(limits.Routes) > 0 {
		change.Routes = limits.Routes
	}
	body, err := json.Marshal(change)
	if err != nil {
		_, _ = fmt.Fprintln(output.Err, "error:", err)
		return ExitFailure
	}
	return a.call(output, http.MethodPost, body)
}

// parseHedgeLimits returns the limits of hedged requests from the values of two arguments, whose names errors give.
func parseHedgeLimits(shareName, share, routeName string, routes []string) (hedge.Limits, error) {
	limits := hedge.Limits{Routes: map[string]float64{}}
	var err error
	if limits.Share, err = strconv.ParseFloat(share, 64); err != nil {
		return hedge.Limits{}, fmt.Errorf("%s %q is no number", shareName, share)
	}
	for _, value := range routes {
		name, share, found := strings.Cut(value, "=")
		if !found || name == "" {
			return hedge.Limits{}, fmt.Errorf("%s %q is not of the form NAME=SHARE", routeName, value)
		}
		if _, again := limits.Routes[name]; again {
			return hedge.Limits{}, fmt.Errorf("%s %q: the route is named twice", routeName, value)
		}
		if limits.Routes[name], err = strconv.ParseFloat(share, 64); err != nil {
			return hedge.Limits{}, fmt.Errorf("%s %q: %q is no number", routeName, value, share)
		}
	}
	return limits, limits.Check()
}

// call makes the same call to all VMs at the same time and prints the limits of each, or its error. It fails if any call does.
func (a *HedgeVMArguments) call(output Output, method string, body []byte) int {
	addresses := make([]string, 0, len(a.Address))
	for _, given := range a.Address {
		address, err := metricsAddress(given)
		if err != nil {
			_, _ = fmt.Fprintln(output.Err, "error:", err)
			return ExitUsage
		}
		addresses = append(addresses, address)
	}
	limits, errs := make([]site.HedgeLimits, len(addresses)), make([]error, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() { limits[i], errs[i] = callHedgeLimits(method, address, body) })
	}
	calls.Wait()
	code := ExitOK
	for i, address := range addresses {
		if errs[i] != nil {
			code = ExitFailure
			_, _ = fmt.Fprintf(output.Err, "error: %s: %v\n", address, errs[i])
			continue
		}
		_, _ = fmt.Fprintf(output.Out, "%s share %v", address, *limits[i].Share)
		for _, route := range slices.Sorted(maps.Keys(limits[i].Routes)) {
			_, _ = fmt.Fprintf(output.Out, " %s=%v", route, limits[i].Routes[route])
		}
		_, _ = fmt.Fprintln(output.Out)
	}
	return code
}

func callHedgeLimits(method, address string, body []byte) (limits site.HedgeLimits, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), hedgeCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+site.HedgeLimitsPath, bytes.NewReader(body))
	if err != nil {
		return limits, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return limits, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxHedgeReplyBytes))
	switch {
	case err != nil:
		return limits, err
	case response.StatusCode == http.StatusNotFound:
		return limits, errors.New("the VM has no such limits: it is a control VM, or its build does not know the call")
	case response.StatusCode != http.StatusOK:
		return limits, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(content)))
	}
	if err := json.Unmarshal(content, &limits); err != nil {
		return limits, err
	}
	if limits.Share == nil {
		return limits, errors.New("the answer has no limit")
	}
	return limits, nil
}
