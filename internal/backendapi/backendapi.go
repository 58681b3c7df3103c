// Package backendapi defines the protocol between backend servers and the
// system, as published in docs/BACKEND-PROTOCOL.md. Messages are JSON over
// HTTP; generated tokens arrive as server-sent events.
package backendapi

import "time"

// Kind tells a model engine from a plain service.
type Kind string

// Kinds of backend server.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Role is the part of the work that an engine does.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// State is the state that a backend server announces.
type State string

// States of a backend server.
const (
	StateServing  State = "serving"
	StateDraining State = "leaving"
)

// Paths on the backend listener of an entry VM.
const (
	// PathAnnounce receives an Announcement by POST and answers an
	// AnnounceReply.
	PathAnnounce = "/backend/v1/announce"
)

// Paths on an engine.
const (
	// PathCompletions and PathChat take the caller's body unchanged, by POST.
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	// PathCancel takes a CancelRequest and answers a CancelReply.
	PathCancel = "/engine/v1/cancel"
	// PathAttempts answers an AttemptList.
	PathAttempts = "/engine/v1/attempts"
	// PathKVExport takes a KVExportRequest and answers a KVHandle.
	PathKVExport = "/engine/v1/kv/export"
	// PathKVImport takes a KVImportRequest and answers a KVHandle.
	PathKVImport = "/engine/v1/kv/import"
	// PathOrder takes an Order and answers an OrderReply.
	PathOrder = "/engine/v1/order"
	// PathState answers an EngineState, to read an order back.
	PathState = "/engine/v1/state"
)

// Request headers sent with every call to a backend server.
const (
	// HeaderAttempt carries the unguessable attempt identifier, echoed on
	// each Chunk and, for plain services, in the response header of the same
	// name.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderPriority carries 0 (lowest) to 9 (highest).
	HeaderPriority = "X-Priority"
	// HeaderBudget carries the milliseconds left until the deadline.
	HeaderBudget = "X-Budget-Ms"
	// HeaderPromptTokens carries the prompt length in tokens.
	HeaderPromptTokens = "X-Prompt-Tokens"
	// HeaderResumeFrom carries the number of generated tokens that were
	// already verified; generation goes on with the next one.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderMemoryTokens carries the engine memory leased, in tokens.
	HeaderMemoryTokens = "X-Memory-Tokens"
	// HeaderAdapter carries the adapter name, empty for none.
	HeaderAdapter = "X-Adapter"
	// HeaderKVHandle names KV cache that was imported for this attempt; several
	// handles are separated by commas.
	HeaderKVHandle = "X-Kv-Handle"
	// HeaderPrefillOnly set to "1" asks for prefill of a segment without
	// decode.
	HeaderPrefillOnly = "X-Prefill-Only"
	// HeaderSegment carries "start-end" in prompt tokens, end exclusive.
	HeaderSegment = "X-Segment"
	// HeaderNotRun set to "1" on an error response states that the backend
	// server refused the call before running any of it.
	HeaderNotRun = "X-Not-Run"
	// HeaderBodyDigest on a plain service's response carries the SHA-256 of
	// the body in hexadecimal digits.
	HeaderBodyDigest = "X-Body-Sha256"
)

// Announcement is sent by a backend server to every entry VM of its zone that
// it knows, at each heartbeat.
type Announcement struct {
	ServerID string `json:"server_id"`
	// Incarnation grows with each start of the server.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	Zone     string `json:"zone"`
	// Address is "ip:port" of the server's HTTP listener.
	Address string        `json:"address"`
	State   State         `json:"state"`
	Service string        `json:"service,omitempty"`
	Models  []ServedModel `json:"models,omitempty"`
	Role    Role          `json:"role,omitempty"`
	// MemoryTokens is the KV cache capacity in tokens.
	MemoryTokens int64 `json:"memory_tokens,omitempty"`
	// ChecksFencing tells whether the server refuses orders that carry an
	// old fencing number.
	ChecksFencing bool       `json:"checks_fencing"`
	Load          LoadReport `json:"load"`
	// CacheEvents may be late and may have gaps in CacheEvent.Sequence.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// ServedModel is a model that an engine has loaded.
type ServedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// LoadReport is an engine's view of its own load. It lags behind.
type LoadReport struct {
	// AgeMillis is the age of the figures when they were sent.
	AgeMillis            int64 `json:"age_ms"`
	UsedTokens           int64 `json:"used_tokens"`
	RunningRequests      int64 `json:"running_requests"`
	WaitingRequests      int64 `json:"waiting_requests"`
	PrefillBacklogTokens int64 `json:"prefill_backlog_tokens"`
}

// CacheEventKind tells what happened to a cached prefix.
type CacheEventKind string

// Kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent reports a change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Block is the hash of the prefix that ends with this block; see
	// PrefixBlocks.
	Block uint64 `json:"block,omitempty"`
	// Tokens is the length of the prefix up to the end of the block.
	Tokens int64 `json:"tokens,omitempty"`
}

// AnnounceReply answers an Announcement.
type AnnounceReply struct {
	// EntryVMs lists the announce addresses ("ip:port") of the entry VMs
	// that this server should report to from now on.
	EntryVMs []string `json:"entry_vms"`
	// Interval is the time until the next announcement, in milliseconds.
	IntervalMillis int64 `json:"interval_ms"`
}

// Chunk is one server-sent event of a generation. The stream is complete only
// when a chunk with End set arrived and its Count equals the number of tokens
// received including those before a resume.
type Chunk struct {
	Attempt string `json:"attempt"`
	// Index is the position of the token in the whole answer, from 0.
	Index int64  `json:"index"`
	Text  string `json:"text,omitempty"`
	End   bool   `json:"end,omitempty"`
	// Count is the number of tokens of the whole answer, on the end mark.
	Count int64 `json:"count,omitempty"`
	// FinishReason is "stop" or "length", on the end mark.
	FinishReason string `json:"finish_reason,omitempty"`
	// PromptTokens is the prompt length that the engine saw, on the end mark.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	// CachedTokens is the part of the prompt that was found in the prefix
	// cache, on the end mark.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// Error, on the end mark, tells why generation stopped early.
	Error string `json:"error,omitempty"`
}

// CancelRequest asks an engine to stop attempts and free their memory.
type CancelRequest struct {
	Attempts []string `json:"attempts"`
}

// CancelReply lists the attempts that hold no memory any more, unknown ones
// included.
type CancelReply struct {
	Released []string `json:"released"`
}

// AttemptList lists what holds engine memory.
type AttemptList struct {
	Attempts []HeldAttempt `json:"attempts"`
}

// HeldAttempt is one attempt that holds engine memory.
type HeldAttempt struct {
	Attempt   string `json:"attempt"`
	Tokens    int64  `json:"tokens"`
	AgeMillis int64  `json:"age_ms"`
}

// KVExportRequest asks an engine to make the KV cache of an attempt available
// for import elsewhere.
type KVExportRequest struct {
	Attempt string `json:"attempt"`
	// Release frees the memory of the attempt after the export.
	Release bool `json:"release"`
}

// KVImportRequest asks an engine to fetch exported KV cache.
type KVImportRequest struct {
	Attempt string `json:"attempt"`
	// Source is "ip:port" of the exporting engine.
	Source string `json:"source"`
	Handle string `json:"handle"`
	// Remote leaves the KV cache on the source, which goes on holding it; it
	// serves as the context of a segment.
	Remote bool `json:"remote,omitempty"`
}

// KVHandle names exported or imported KV cache.
type KVHandle struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
}

// OrderKind tells what an order asks for.
type OrderKind string

// Kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order changes what an engine serves. It is idempotent by ID.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Fencing uint64    `json:"fencing"`
	// ExpiresUnixMillis is when the order loses its effect if not begun.
	ExpiresUnixMillis int64  `json:"expires_unix_ms"`
	Model             string `json:"model,omitempty"`
	Version           string `json:"version,omitempty"`
	Adapter           string `json:"adapter,omitempty"`
	Role              Role   `json:"role,omitempty"`
}

// Expired reports whether the order has lost its effect at now.
func (o Order) Expired(now time.Time) bool {
	return now.UnixMilli() >= o.ExpiresUnixMillis
}

// OrderStatus is the state of an order on an engine.
type OrderStatus string

// States of an order.
const (
	OrderAccepted OrderStatus = "accepted"
	OrderDone     OrderStatus = "done"
	OrderStale    OrderStatus = "stale_fencing"
	OrderExpired  OrderStatus = "expired"
	OrderRefused  OrderStatus = "refused"
)

// OrderReply answers an Order.
type OrderReply struct {
	Status OrderStatus `json:"status"`
	Reason string      `json:"reason,omitempty"`
}

// EngineState is what an engine serves, for reading orders back.
type EngineState struct {
	ServerID    string        `json:"server_id"`
	Incarnation uint64        `json:"incarnation"`
	Fencing     uint64        `json:"fencing"`
	Role        Role          `json:"role"`
	Models      []ServedModel `json:"models"`
	Loading     []string      `json:"loading"`
}
