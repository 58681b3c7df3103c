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
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 1 << 20
	// announcementTimeout bounds the reading of an announcement.
	announcementTimeout = 5 * time.Second
)

// AnnouncementHandler is the HTTP handler of backendapi.PathAnnounce.
type AnnouncementHandler struct {
	table    *Table
	subset   *Subset
	interval time.Duration
	logger   zerolog.Logger
}

// NewAnnouncementHandler returns a handler that feeds table and answers with the entry
// VMs of subset and the heartbeat interval.
func NewAnnouncementHandler(table *Table, subset *Subset, interval time.Duration, logger zerolog.Logger) *AnnouncementHandler {
	return &AnnouncementHandler{table: table, subset: subset, interval: interval, logger: logger}
}

// ServeHTTP implements http.Handler.
func (r *AnnouncementHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		http.Error(w, "POST is required", http.StatusMethodNotAllowed)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(announcementTimeout)) // not supported by test writers
	var announcement backendapi.Announcement
	body := io.LimitReader(req.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&announcement); err != nil {
		r.refuse(w, &announcement, err)
		return
	}
	change, err := r.table.Apply(&announcement, time.Now())
	if err != nil {
		r.refuse(w, &announcement, err)
		return
	}
	r.log(&announcement, change)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(backendapi.AnnounceReply{ // the server announces itself again if this is lost
		EntryVMs:       r.subset.AddressesFor(announcement.ServerID),
		IntervalMillis: r.interval.Milliseconds(),
	})
}

func (r *AnnouncementHandler) refuse(w http.ResponseWriter, a *backendapi.Announcement, err error) {
	observe.Log(r.logger, observe.AnnouncementRefused).Str("server", a.ServerID).Uint64("incarnation", a.Incarnation).Err(err).Send()
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func (r *AnnouncementHandler) log(a *backendapi.Announcement, change Change) {
	event := observe.ServerJoined
	switch change {
	case ChangeJoined:
	case ChangeDraining:
		event = observe.ServerLeaving
	default:
		return
	}
	observe.Log(r.logger, event).Str("server", a.ServerID).Uint64("incarnation", a.Incarnation).Str("address", a.Address).Send()
}
