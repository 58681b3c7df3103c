package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// maxAnnouncementBytes is the maximum size of the body; the rest is ignored.
	maxAnnouncementBytes = 1 << 20
	// announcementTimeout is the read timeout of the body.
	announcementTimeout = 5 * time.Second
)

// AnnouncementHandler is the HTTP handler of backendapi.PathAnnounce.
type AnnouncementHandler struct {
	table    *Table
	subset   *Subset
	interval time.Duration
	logger   zerolog.Logger
}

// NewAnnouncementHandler returns a handler that applies announcements to table. It
// replies with the server's entry VMs by subset and the heartbeat interval.
func NewAnnouncementHandler(table *Table, subset *Subset, interval time.Duration, logger zerolog.Logger) *AnnouncementHandler {
	return &AnnouncementHandler{table: table, subset: subset, interval: interval, logger: logger}
}

// ServeHTTP implements http.Handler.
func (h *AnnouncementHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		http.Error(w, "POST is required", http.StatusMethodNotAllowed)
		return
	}
	// Test response writers do not support read deadlines, so the error is ignored.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(announcementTimeout))
	var announcement backendapi.Announcement
	body := io.LimitReader(req.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&announcement); err != nil {
		h.reject(w, &announcement, err)
		return
	}
	change, err := h.table.Apply(&announcement, time.Now())
	if err != nil {
		h.reject(w, &announcement, err)
		return
	}
	h.logChange(&announcement, change)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(backendapi.AnnounceReply{ // if the reply is lost, the next announcement gets one
		EntryVMs:       h.subset.AddressesFor(announcement.ServerID),
		IntervalMillis: h.interval.Milliseconds(),
	})
}

func (h *AnnouncementHandler) reject(w http.ResponseWriter, a *backendapi.Announcement, err error) {
	observe.Log(h.logger, observe.AnnouncementRefused).Str("server", a.ServerID).Uint64("incarnation", a.Incarnation).Err(err).Send()
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// logChange logs servers that join or start to drain.
func (h *AnnouncementHandler) logChange(a *backendapi.Announcement, change Change) {
	event := observe.ServerJoined
	switch change {
	case ChangeJoined:
	case ChangeDraining:
		event = observe.ServerLeaving
	default:
		return
	}
	observe.Log(h.logger, event).Str("server", a.ServerID).Uint64("incarnation", a.Incarnation).Str("address", a.Address).Send()
}
