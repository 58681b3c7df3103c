package process

import (
	"context"
	"errors"
	"net"

	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/tcp"
)

// open opens each listener that has an address and is not set yet. If one of them fails,
// it closes all listeners, including those that were set before, and returns the errors
// of all that failed.
func (l *Listeners) open(ctx context.Context, addresses settings.Listen) error {
	endpoints := []struct {
		listener *net.Listener
		address  string
	}{
		{&l.Callers, addresses.Callers}, {&l.Backends, addresses.Backends},
		{&l.Internal, addresses.Internal}, {&l.Operators, addresses.Operators},
	}
	var errs []error
	for _, endpoint := range endpoints {
		if *endpoint.listener != nil || endpoint.address == "" {
			continue
		}
		opened, err := tcp.Listen(ctx, endpoint.address)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		*endpoint.listener = opened
	}
	if len(errs) > 0 {
		l.close()
	}
	return errors.Join(errs...)
}

func (l *Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Backends, l.Internal, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (l *Listeners) addresses() Addresses {
	return Addresses{
		Callers: addressOf(l.Callers), Backends: addressOf(l.Backends),
		Internal: addressOf(l.Internal), Operators: addressOf(l.Operators),
	}
}

func addressOf(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}
