package process

import (
	"context"
	"errors"
	"net"

	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/tcp"
)

// open opens the listeners that are not open yet.
func (l *Listeners) open(ctx context.Context, addresses settings.Listen) error {
	wanted := []struct {
		listener *net.Listener
		address  string
	}{
		{&l.Callers, addresses.Callers}, {&l.Backends, addresses.Backends},
		{&l.Internal, addresses.Internal}, {&l.Operators, addresses.Operators},
	}
	var failures []error
	for _, one := range wanted {
		if *one.listener != nil || one.address == "" {
			continue
		}
		opened, err := tcp.Listen(ctx, one.address)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		*one.listener = opened
	}
	if len(failures) > 0 {
		l.close()
	}
	return errors.Join(failures...)
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
