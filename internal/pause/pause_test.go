package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForReturnsAfterWaitOrWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		For(t.Context(), time.Second)
		require.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		For(ctx, time.Hour)
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}
