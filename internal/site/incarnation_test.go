package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// VMs that started at the same instant had the same incarnation and replaced each other's
// streams for ever.
func TestVMsThatStartAtOneInstantHaveDifferentIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	seen := map[uint64]string{}
	for i := range 1000 {
		vm := fmt.Sprintf("entry-%d", i/2) // each VM starts twice
		incarnation := newIncarnation(vm, now)
		require.Empty(t, seen[incarnation], "incarnation of %s", vm)
		seen[incarnation] = vm
	}
}
