package routing

import (
	"context"
	"errors"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/limit"
	"godwityoke.example/godwityoke/internal/routing/routingpb"
)

const (
	// demandInterval is how often the demand of teams is exchanged.
	demandInterval = time.Second
	// demandTimeout bounds one exchange.
	demandTimeout = 500 * time.Millisecond
	// sweepEvery is the number of exchanges after which old sums are dropped.
	sweepEvery = 30
)

// errTotals tells that the answer does not match the question.
var errTotals = errors.New("the sums do not match the teams that were reported")

// demand exchanges the demand of teams. Each team's is summed up by one VM of
// the zone, so that a VM sends each of its teams to one other VM only.
type demand struct {
	routingpb.UnimplementedDemandServer
	routing *Routing

	mu     sync.Mutex
	summer *limit.Aggregator
}

func newDemand(routing *Routing) *demand {
	d := &demand{routing: routing, summer: limit.NewAggregator()}
	routingpb.RegisterDemandServer(routing.host.GRPC, d)
	return d
}

// Report implements routingpb.DemandServer.
func (d *demand) Report(_ context.Context, message *routingpb.ReportRequest) (*routingpb.ReportReply, error) {
	usages := make([]limit.Demand, len(message.GetUsages()))
	for i, usage := range message.GetUsages() {
		usages[i] = limit.Demand{Team: usage.GetTeam(), RequestsPerSecond: float64(max(usage.GetRequestsPerSecond(), 0))}
	}
	reply := &routingpb.ReportReply{}
	for _, total := range d.sum(message.GetVm(), usages) {
		reply.Totals = append(reply.Totals, &routingpb.Total{RequestsPerSecond: float32(total.RequestsPerSecond), Vms: int32(total.VMs)})
	}
	return reply, nil
}

func (d *demand) sum(vm string, usages []limit.Demand) []limit.Total {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.summer.Report(vm, usages, time.Now())
}

func (d *demand) run(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.exchange(ctx)
		}
		if round%sweepEvery == 0 {
			d.mu.Lock()
			d.summer.Sweep(time.Now())
			d.mu.Unlock()
		}
	}
}

// exchange reports this VM's teams to the VMs that sum them up. Where that
// fails, the limiter goes on with the last sums and then with equal parts.
func (d *demand) exchange(ctx context.Context) {
	names := d.routing.names()
	byVM := map[string][]limit.Demand{}
	for _, usage := range d.routing.limiter.Demands(time.Now()) {
		vm := capacity.Scheduler(usage.Team, names)
		byVM[vm] = append(byVM[vm], usage)
	}
	var asked sync.WaitGroup
	for vm, usages := range byVM {
		asked.Go(func() {
			if totals, err := d.ask(ctx, vm, usages); err == nil {
				d.routing.limiter.SetTotals(totals, time.Now())
			}
		})
	}
	asked.Wait()
}

func (d *demand) ask(ctx context.Context, vm string, usages []limit.Demand) ([]limit.Total, error) {
	self := d.routing.host.Settings.VM.Name
	if vm == self {
		return d.sum(self, usages), nil
	}
	address, err := d.routing.internalAddress(vm)
	if err != nil {
		return nil, err
	}
	conn, err := d.routing.host.Peers.Conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	message := &routingpb.ReportRequest{Vm: self}
	for _, usage := range usages {
		message.Usages = append(message.Usages, &routingpb.Usage{Team: usage.Team, RequestsPerSecond: float32(usage.RequestsPerSecond)})
	}
	reply, err := routingpb.NewDemandClient(conn).Report(ctx, message)
	if err != nil {
		return nil, err
	}
	if len(reply.GetTotals()) != len(usages) {
		return nil, errTotals
	}
	totals := make([]limit.Total, len(usages))
	for i, total := range reply.GetTotals() {
		totals[i] = limit.Total{Team: usages[i].Team, RequestsPerSecond: float64(total.GetRequestsPerSecond()), VMs: int(total.GetVms())}
	}
	return totals, nil
}
