package request

// Kind is the kind of a request: a completion or chat by a model engine, or a call of
// a plain service. It follows from the path of the request.
type Kind string

// Kinds of request.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindService    Kind = "service"
)

// ForEngine reports whether requests of kind k are served by model engines.
func (k Kind) ForEngine() bool { return k == KindCompletion || k == KindChat }
