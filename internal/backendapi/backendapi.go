// Package backendapi defines the messages, paths and headers of the protocol between
// entry VMs and backend servers, as published in docs/BACKEND-PROTOCOL.md. Messages
// are JSON over HTTP; generated tokens are sent as server-sent events.
package backendapi

import "time"

// Kind is the kind of a backend server.
type Kind string

// Kinds of backend server: model engines and plain services.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Role tells whether an engine does prefill, decode or both.
type Role string

// Roles of an engine. RoleMixed engines do both prefill and decode.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// State is the state that a backend server announces.
type State string

// States of a backend server. A draining server finishes its requests and takes no new
// ones.
const (
	StateServing  State = "serving"
	StateDraining State = "leaving"
)

// Paths on the backend listener of an entry VM.
const (
	// PathAnnounce takes an Announcement by POST and returns an AnnounceReply.
	PathAnnounce = "/backend/v1/announce"
)

// Paths on an engine.
const (
	// PathCompletions and PathChat take the caller's unchanged body by POST, and
	// return a stream of Chunks.
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	// PathCancel takes a CancelRequest and returns a CancelReply.
	PathCancel = "/engine/v1/cancel"
	// PathAttempts returns an AttemptList.
	PathAttempts = "/engine/v1/attempts"
	// PathKVExport takes a KVExportRequest and returns a KVHandle.
	PathKVExport = "/engine/v1/kv/export"
	// PathKVImport takes a KVImportRequest and returns a KVHandle.
	PathKVImport = "/engine/v1/kv/import"
	// PathOrder takes an Order and returns an OrderReply.
	PathOrder = "/engine/v1/order"
	// PathState returns an EngineState, which shows the effect of orders.
	PathState = "/engine/v1/state"
)

// Headers of requests to backend servers and of their responses.
const (
	// HeaderAttempt is the unguessable attempt identifier. Engines repeat it in
	// each Chunk, and plain services in the response header of the same name.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderPriority is the priority, 0 (lowest) to 9 (highest).
	HeaderPriority = "X-Priority"
	// HeaderBudget is the time left until the deadline, in milliseconds.
	HeaderBudget = "X-Budget-Ms"
	// HeaderPromptTokens is the estimated prompt length in tokens.
	HeaderPromptTokens = "X-Prompt-Tokens"
	// HeaderResumeFrom is the number of tokens of the answer that earlier attempts
	// delivered. The engine generates the answer from the next one on.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderMemoryTokens is the engine memory that the attempt may use, in tokens.
	HeaderMemoryTokens = "X-Memory-Tokens"
	// HeaderAdapter is the name of the adapter. It is absent without an adapter.
	HeaderAdapter = "X-Adapter"
	// HeaderKVHandle names the KV cache that was imported for this attempt. Several
	// names are separated by commas.
	HeaderKVHandle = "X-Kv-Handle"
	// HeaderPrefillOnly set to "1" requests the prefill of a segment without
	// decode.
	HeaderPrefillOnly = "X-Prefill-Only"
	// HeaderSegment is the segment to prefill, as "start-end" in prompt tokens. The
	// end is exclusive.
	HeaderSegment = "X-Segment"
	// HeaderNotRun set to "1" on an error response states that the backend server
	// refused the call and did not run any part of it.
	HeaderNotRun = "X-Not-Run"
	// HeaderBodyDigest is the SHA-256 digest of the body of a plain service's
	// response, in lower-case hexadecimal digits.
	HeaderBodyDigest = "X-Body-Sha256"
)

// Announcement is the heartbeat that a backend server sends to each entry VM of its
// availability zone that it knows.
type Announcement struct {
	ServerID string `json:"server_id"`
	// Incarnation increases with each start of the server.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	Zone     string `json:"zone"`
	// Address is "ip:port" of the server's HTTP listener.
	Address string        `json:"address"`
	State   State         `json:"state"`
	Service string        `json:"service,omitempty"`
	Models  []ServedModel `json:"models,omitempty"`
	Role    Role          `json:"role,omitempty"`
	// MemoryTokens is the capacity of an engine's KV cache, in tokens.
	MemoryTokens int64 `json:"memory_tokens,omitempty"`
	// ChecksFencing is true when the server refuses orders with an old fencing
	// number.
	ChecksFencing bool       `json:"checks_fencing"`
	Load          LoadReport `json:"load"`
	// CacheEvents may be delayed, and CacheEvent.Sequence may have gaps.
	CacheEvents []CacheEvent `json:"cache_events,omitempty"`
}

// ServedModel is a model that an engine has loaded.
type ServedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// LoadReport is the load of an engine as it measured it some time ago.
type LoadReport struct {
	// AgeMillis is the age of the other values when the report was sent.
	AgeMillis            int64 `json:"age_ms"`
	UsedTokens           int64 `json:"used_tokens"`
	RunningRequests      int64 `json:"running_requests"`
	WaitingRequests      int64 `json:"waiting_requests"`
	PrefillBacklogTokens int64 `json:"prefill_backlog_tokens"`
}

// CacheEventKind is the kind of a change of an engine's prefix cache.
type CacheEventKind string

// Kinds of cache event. CacheCleared is about all blocks.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent reports a change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Block is the hash of the prefix that ends with the block; see PrefixBlocks.
	Block uint64 `json:"block,omitempty"`
	// Tokens is the length of the prefix up to the end of the block.
	Tokens int64 `json:"tokens,omitempty"`
}

// AnnounceReply answers an Announcement.
type AnnounceReply struct {
	// EntryVMs lists the addresses ("ip:port") of the entry VMs to which the server
	// sends its announcements from now on.
	EntryVMs []string `json:"entry_vms"`
	// IntervalMillis is the time until the next announcement.
	IntervalMillis int64 `json:"interval_ms"`
}

// Chunk is one server-sent event of an engine's answer. The answer is complete only
// when the end mark, a chunk with End set, was received and its Count equals the number
// of tokens received, including those of earlier attempts that it resumes.
type Chunk struct {
	Attempt string `json:"attempt"`
	// Index is the position of the token in the complete answer, from 0.
	Index int64  `json:"index"`
	Text  string `json:"text,omitempty"`
	End   bool   `json:"end,omitempty"`
	// The fields below are set in the end mark only.

	// Count is the number of tokens of the complete answer.
	Count int64 `json:"count,omitempty"`
	// FinishReason is "stop" or "length".
	FinishReason string `json:"finish_reason,omitempty"`
	// PromptTokens is the prompt length as counted by the engine.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// Error is the reason why generation stopped early, empty otherwise.
	Error string `json:"error,omitempty"`
}

// CancelRequest asks an engine to stop the given attempts and free their memory.
type CancelRequest struct {
	Attempts []string `json:"attempts"`
}

// CancelReply lists the attempts that hold no engine memory, including unknown ones.
type CancelReply struct {
	Released []string `json:"released"`
}

// AttemptList lists the attempts that hold engine memory.
type AttemptList struct {
	Attempts []HeldAttempt `json:"attempts"`
}

// HeldAttempt is one attempt that holds engine memory.
type HeldAttempt struct {
	Attempt   string `json:"attempt"`
	Tokens    int64  `json:"tokens"`
	AgeMillis int64  `json:"age_ms"`
}

// KVExportRequest asks an engine to make the KV cache of an attempt available for import
// by other engines.
type KVExportRequest struct {
	Attempt string `json:"attempt"`
	// Release tells the engine to free the memory of the attempt after the export.
	Release bool `json:"release"`
}

// KVImportRequest asks an engine to import KV cache that another engine exported.
type KVImportRequest struct {
	// Attempt is the name of the import, for HeaderKVHandle.
	Attempt string `json:"attempt"`
	// Source is "ip:port" of the exporting engine.
	Source string `json:"source"`
	Handle string `json:"handle"`
	// Remote leaves the KV cache in the memory of the source. The importing engine
	// uses it from there as the context of a segment.
	Remote bool `json:"remote,omitempty"`
}

// KVHandle identifies exported or imported KV cache of the given number of tokens.
type KVHandle struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
}

// OrderKind is the kind of change that an order makes.
type OrderKind string

// Kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order changes the models, adapters or the role of an engine. An order with the ID of
// an earlier one has no further effect. Fencing is the term of the leader that sends the
// order: engines that check fencing refuse an order with a lower number than one seen
// before.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Fencing uint64    `json:"fencing"`
	// ExpiresUnixMillis is the time after which the order must not be started.
	ExpiresUnixMillis int64  `json:"expires_unix_ms"`
	Model             string `json:"model,omitempty"`
	Version           string `json:"version,omitempty"`
	Adapter           string `json:"adapter,omitempty"`
	Role              Role   `json:"role,omitempty"`
}

// Expired reports whether the order must not be started at now or later.
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

// EngineState describes what an engine serves and loads at the time of the request.
type EngineState struct {
	ServerID    string        `json:"server_id"`
	Incarnation uint64        `json:"incarnation"`
	Fencing     uint64        `json:"fencing"`
	Role        Role          `json:"role"`
	Models      []ServedModel `json:"models"`
	Loading     []string      `json:"loading"`
}
