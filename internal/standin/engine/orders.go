package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/standin/control"
)

// maxKnownOrders bounds the order identifiers that are remembered.
const maxKnownOrders = 1024

// orders executes orders and holds what they change.
type orders struct {
	mu            sync.Mutex
	checksFencing bool
	loadTime      time.Duration
	current       backendapi.EngineState
	known         map[string]backendapi.OrderReply
	recent        []string
	modelLoaded   func()
}

func newOrders(config Config, incarnation uint64, modelLoaded func()) *orders {
	return &orders{
		checksFencing: config.ChecksFencing, loadTime: config.LoadTime, modelLoaded: modelLoaded,
		current: backendapi.EngineState{
			ServerID: config.ServerID, Incarnation: incarnation, Role: config.Role,
			Models: slices.Clone(config.Models), Loading: []string{},
		},
		known: map[string]backendapi.OrderReply{},
	}
}

func (o *orders) state() backendapi.EngineState {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.current
	state.Models = slices.Clone(state.Models)
	state.Loading = slices.Clone(state.Loading)
	return state
}

// served returns the version of a model that is loaded, with the adapter when
// one is named.
func (o *orders) served(model, adapter string) (version string, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, served := range o.current.Models {
		if served.Name == model {
			return served.Version, adapter == "" || slices.Contains(served.Adapters, adapter)
		}
	}
	return "", false
}

// execute begins an order. The same identifier gets the same reply, or done
// once it has taken effect.
func (o *orders) execute(order backendapi.Order, now time.Time) backendapi.OrderReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply, known := o.known[order.ID]; known {
		return reply
	}
	if o.checksFencing && order.Fencing < o.current.Fencing {
		return backendapi.OrderReply{Status: backendapi.OrderStale, Reason: "a higher fencing number was seen"}
	}
	if order.Expired(now) {
		return backendapi.OrderReply{Status: backendapi.OrderExpired}
	}
	o.current.Fencing = max(o.current.Fencing, order.Fencing)
	reply := o.begin(order)
	o.remember(order.ID, reply)
	return reply
}

func (o *orders) remember(id string, reply backendapi.OrderReply) {
	if _, known := o.known[id]; !known {
		o.recent = append(o.recent, id)
	}
	o.known[id] = reply
	if len(o.recent) > maxKnownOrders {
		delete(o.known, o.recent[0])
		o.recent = o.recent[1:]
	}
}

func (o *orders) begin(order backendapi.Order) backendapi.OrderReply {
	done := backendapi.OrderReply{Status: backendapi.OrderDone}
	switch order.Kind {
	case backendapi.OrderLoadModel, backendapi.OrderLoadAdapter:
		o.current.Loading = append(o.current.Loading, loadName(order))
		time.AfterFunc(o.loadTime, func() { o.finishLoad(order) })
		return backendapi.OrderReply{Status: backendapi.OrderAccepted}
	case backendapi.OrderUnloadModel:
		o.current.Models = slices.DeleteFunc(o.current.Models, func(served backendapi.ServedModel) bool {
			return served.Name == order.Model && (order.Version == "" || served.Version == order.Version)
		})
		return done
	case backendapi.OrderSetRole:
		o.current.Role = order.Role
		return done
	}
	return backendapi.OrderReply{Status: backendapi.OrderRefused, Reason: "unknown kind of order"}
}

func loadName(order backendapi.Order) string {
	if order.Kind == backendapi.OrderLoadAdapter {
		return order.Model + "/" + order.Adapter
	}
	return order.Model + "@" + order.Version
}

func (o *orders) finishLoad(order backendapi.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at := slices.Index(o.current.Loading, loadName(order)); at >= 0 {
		o.current.Loading = slices.Delete(o.current.Loading, at, at+1)
	}
	at := slices.IndexFunc(o.current.Models, func(served backendapi.ServedModel) bool { return served.Name == order.Model })
	switch {
	case order.Kind == backendapi.OrderLoadModel && at < 0:
		o.current.Models = append(o.current.Models, backendapi.ServedModel{Name: order.Model, Version: order.Version})
	case order.Kind == backendapi.OrderLoadModel:
		o.current.Models[at].Version = order.Version
		go o.modelLoaded()
	case at < 0:
		o.remember(order.ID, backendapi.OrderReply{Status: backendapi.OrderRefused, Reason: "the model is not loaded"})
		return
	case !slices.Contains(o.current.Models[at].Adapters, order.Adapter):
		adapters := slices.Clone(o.current.Models[at].Adapters)
		o.current.Models[at].Adapters = append(adapters, order.Adapter)
	}
	o.remember(order.ID, backendapi.OrderReply{Status: backendapi.OrderDone})
}

func (s *Server) handleOrder(c echo.Context) error {
	var order backendapi.Order
	if err := c.Bind(&order); err != nil {
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	if s.blocked(c) {
		return nil
	}
	return c.JSON(http.StatusOK, s.orders.execute(order, time.Now()))
}

func (s *Server) handleState(c echo.Context) error {
	if s.blocked(c) {
		return nil
	}
	return c.JSON(http.StatusOK, s.orders.state())
}
