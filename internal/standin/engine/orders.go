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

// maxKnownOrders is the maximum number of orders whose replies are kept.
const maxKnownOrders = 1024

// orders executes orders and holds the engine state that they change.
type orders struct {
	mu            sync.Mutex
	checksFencing bool
	loadTime      time.Duration
	current       backendapi.EngineState
	// replies holds the latest reply to each known order by ID, and replyOrder the IDs, oldest
	// first.
	replies    map[string]backendapi.OrderReply
	replyOrder []string
	// onModelReplaced is called after a load has replaced the version of a model.
	onModelReplaced func()
}

func newOrders(config Config, incarnation uint64, onModelReplaced func()) *orders {
	return &orders{
		checksFencing: config.ChecksFencing, loadTime: config.LoadTime, onModelReplaced: onModelReplaced,
		current: backendapi.EngineState{
			ServerID: config.ServerID, Incarnation: incarnation, Role: config.Role,
			Models: slices.Clone(config.Models), Loading: []string{},
		},
		replies: map[string]backendapi.OrderReply{},
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

// servedVersion returns the version of a loaded model. It reports false if the model, or the
// adapter if one is named, is not loaded.
func (o *orders) servedVersion(model, adapter string) (version string, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, served := range o.current.Models {
		if served.Name == model {
			return served.Version, adapter == "" || slices.Contains(served.Adapters, adapter)
		}
	}
	return "", false
}

// execute starts an order and returns the reply to it. An order with a known ID is not executed
// again: its reply is the stored one, which the end of a load replaces. Replies to stale and
// expired orders are not stored.
func (o *orders) execute(order backendapi.Order, now time.Time) backendapi.OrderReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply, known := o.replies[order.ID]; known {
		return reply
	}
	if o.checksFencing && order.Fencing < o.current.Fencing {
		return backendapi.OrderReply{Status: backendapi.OrderStale, Reason: "a higher fencing number was seen"}
	}
	if order.Expired(now) {
		return backendapi.OrderReply{Status: backendapi.OrderExpired}
	}
	o.current.Fencing = max(o.current.Fencing, order.Fencing)
	reply := o.start(order)
	o.saveReply(order.ID, reply)
	return reply
}

// saveReply stores the latest reply to an order. If there are more than maxKnownOrders, it evicts the
// oldest order. The caller holds o.mu.
func (o *orders) saveReply(id string, reply backendapi.OrderReply) {
	if _, known := o.replies[id]; !known {
		o.replyOrder = append(o.replyOrder, id)
	}
	o.replies[id] = reply
	if len(o.replyOrder) > maxKnownOrders {
		delete(o.replies, o.replyOrder[0])
		o.replyOrder = o.replyOrder[1:]
	}
}

// start puts an order into effect, or starts its load. The caller holds o.mu.
func (o *orders) start(order backendapi.Order) backendapi.OrderReply {
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

// loadName returns the name under which EngineState.Loading lists an order.
func loadName(order backendapi.Order) string {
	if order.Kind == backendapi.OrderLoadAdapter {
		return order.Model + "/" + order.Adapter
	}
	return order.Model + "@" + order.Version
}

// finishLoad puts a load order into effect. A model that is loaded already gets the new version.
// A load of an adapter whose model is not loaded is refused.
func (o *orders) finishLoad(order backendapi.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if loadingIndex := slices.Index(o.current.Loading, loadName(order)); loadingIndex >= 0 {
		o.current.Loading = slices.Delete(o.current.Loading, loadingIndex, loadingIndex+1)
	}
	modelIndex := slices.IndexFunc(o.current.Models, func(served backendapi.ServedModel) bool { return served.Name == order.Model })
	switch {
	case order.Kind == backendapi.OrderLoadModel && modelIndex < 0:
		o.current.Models = append(o.current.Models, backendapi.ServedModel{Name: order.Model, Version: order.Version})
	case order.Kind == backendapi.OrderLoadModel:
		o.current.Models[modelIndex].Version = order.Version
		go o.onModelReplaced()
	case modelIndex < 0:
		o.saveReply(order.ID, backendapi.OrderReply{Status: backendapi.OrderRefused, Reason: "the model is not loaded"})
		return
	case !slices.Contains(o.current.Models[modelIndex].Adapters, order.Adapter):
		adapters := slices.Clone(o.current.Models[modelIndex].Adapters)
		o.current.Models[modelIndex].Adapters = append(adapters, order.Adapter)
	}
	o.saveReply(order.ID, backendapi.OrderReply{Status: backendapi.OrderDone})
}

func (s *Server) handleOrder(c echo.Context) error {
	var order backendapi.Order
	if err := c.Bind(&order); err != nil {
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	if s.waitWhileHung(c) {
		return nil
	}
	return c.JSON(http.StatusOK, s.orders.execute(order, time.Now()))
}

func (s *Server) handleState(c echo.Context) error {
	if s.waitWhileHung(c) {
		return nil
	}
	return c.JSON(http.StatusOK, s.orders.state())
}
