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
	// demandInterval is the interval between two exchanges of team demand.
	demandInterval = time.Second
	// demandTimeout is the timeout of one report to another VM.
	demandTimeout = 500 * time.Millisecond
	// sweepEvery is the number of exchanges between two sweeps of expired totals.
	sweepEvery = 30
)

// errTotalsMismatch is returned if a reply does not have one total per reported team.
var errTotalsMismatch = errors.New("number of demand totals differs from the number of reported teams")

// demandExchanger exchanges the demand of teams within the zone. One VM aggregates the demand
// of a team in the whole zone, so each VM reports the demand of a team to one VM only.
type demandExchanger struct {
	routingpb.UnimplementedDemandServer
	routing *Routing

	mu         sync.Mutex
	aggregator *limit.Aggregator
}

func newDemandExchanger(routing *Routing) *demandExchanger {
	d := &demandExchanger{routing: routing, aggregator: limit.NewAggregator()}
	routingpb.RegisterDemandServer(routing.host.GRPCServer, d)
	return d
}

// Report implements routingpb.DemandServer.
func (d *demandExchanger) Report(_ context.Context, message *routingpb.ReportRequest) (*routingpb.ReportReply, error) {
	demands := make([]limit.Demand, len(message.GetUsages()))
	for i, demand := range message.GetUsages() {
		demands[i] = limit.Demand{Team: demand.GetTeam(), RequestsPerSecond: float64(max(demand.GetRequestsPerSecond(), 0))}
	}
	reply := &routingpb.ReportReply{}
	for _, total := range d.aggregate(message.GetVm(), demands) {
		reply.Totals = append(reply.Totals, &routingpb.Total{RequestsPerSecond: float32(total.RequestsPerSecond), Vms: int32(total.VMs)})
	}
	return reply, nil
}

// aggregate records the demands that a VM reports and returns the totals of the same teams.
func (d *demandExchanger) aggregate(vm string, demands []limit.Demand) []limit.Total {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.aggregator.Report(vm, demands, time.Now())
}

// run exchanges demand until ctx is cancelled.
func (d *demandExchanger) run(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for exchanges := 1; ; exchanges++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.exchange(ctx)
		}
		if exchanges%sweepEvery == 0 {
			d.mu.Lock()
			d.aggregator.Sweep(time.Now())
			d.mu.Unlock()
		}
	}
}

// exchange reports the demand of this VM's teams to the VMs that aggregate it, and
// passes the totals to the limiter. After a failure the limiter uses the last totals
// until they expire, and then an equal share for each VM.
func (d *demandExchanger) exchange(ctx context.Context) {
	names := d.routing.vmNames()
	byVM := map[string][]limit.Demand{}
	for _, demand := range d.routing.limiter.Demands(time.Now()) {
		vm := capacity.Scheduler(demand.Team, names)
		byVM[vm] = append(byVM[vm], demand)
	}
	var wg sync.WaitGroup
	for vm, demands := range byVM {
		wg.Go(func() {
			if totals, err := d.requestTotals(ctx, vm, demands); err == nil {
				d.routing.limiter.SetTotals(totals, time.Now())
			}
		})
	}
	wg.Wait()
}

// requestTotals reports demands to vm and returns the totals of the same teams.
func (d *demandExchanger) requestTotals(ctx context.Context, vm string, demands []limit.Demand) ([]limit.Total, error) {
	self := d.routing.host.Settings.VM.Name
	if vm == self {
		return d.aggregate(self, demands), nil
	}
	address, err := d.routing.internalAddress(vm)
	if err != nil {
		return nil, err
	}
	conn, err := d.routing.host.PeerPool.Conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	message := &routingpb.ReportRequest{Vm: self}
	for _, demand := range demands {
		message.Usages = append(message.Usages, &routingpb.Usage{Team: demand.Team, RequestsPerSecond: float32(demand.RequestsPerSecond)})
	}
	reply, err := routingpb.NewDemandClient(conn).Report(ctx, message)
	if err != nil {
		return nil, err
	}
	if len(reply.GetTotals()) != len(demands) {
		return nil, errTotalsMismatch
	}
	totals := make([]limit.Total, len(demands))
	for i, total := range reply.GetTotals() {
		totals[i] = limit.Total{Team: demands[i].Team, RequestsPerSecond: float64(total.GetRequestsPerSecond()), VMs: int(total.GetVms())}
	}
	return totals, nil
}
