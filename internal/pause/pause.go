// Package pause provides waits that end early when a context ends.
package pause

import (
	"context"
	"time"
)

// For returns after wait, or as soon as ctx ends. A caller that has to distinguish the
// two checks ctx.Err.
func For(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
