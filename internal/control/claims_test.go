package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/operatorapi"
)

// repairingHolders grants claims from a time on.
type repairingHolders struct {
	until time.Time
}

// CheckGranting implements ClaimHolders.
func (h repairingHolders) CheckGranting(context.Context, string, uint64) error {
	if time.Now().Before(h.until) {
		return errors.New("being repaired")
	}
	return nil
}

// TestAddedVMHoldsClaimRecords adds a VM whose records take a while to repair.
// A loss before that would leave claims without a majority.
func TestAddedVMHoldsClaimRecords(t *testing.T) {
	inGroup(t, func(t *testing.T, g *fakeGroup) {
		repaired := time.Now().Add(7 * time.Second)
		for _, vm := range g.vms {
			vm.control.options.Claims = repairingHolders{until: repaired}
		}
		_, err := g.client().AddVM(t.Context(), &operatorapi.VMRequest{Name: "c4", Zone: "b", Internal: "c4", Operators: "c4"})
		require.NoError(t, err)
		assert.False(t, time.Now().Before(repaired), "the VM counts as added")
	})
}
