package request

// Kind tells what a caller asks for.
type Kind string

// Kinds of request.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindService    Kind = "service"
)

// ForEngine reports whether model engines serve requests of kind k.
func (k Kind) ForEngine() bool { return k == KindCompletion || k == KindChat }
