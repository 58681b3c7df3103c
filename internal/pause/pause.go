// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until ctx ends.
func For(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
