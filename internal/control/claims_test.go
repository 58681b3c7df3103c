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

// repairingClaimHolders is a ClaimHolders whose holders grant claims from
// repairedAt on.
type repairingClaimHolders struct {
	repairedAt time.Time
}

// CheckGranting implements ClaimHolders.
func (h repairingClaimHolders) CheckGranting(context.Context, string, uint64) error {
	if time.Now().Before(h.repairedAt) {
		return errors.New("being repaired")
	}
	return nil
}

// TestAddVMWaitsForClaimRecords adds a VM whose claim records take 7 s to repair.
// AddVM must not return earlier: until then, the loss of another VM could leave
// claims without a quorum.
func TestAddVMWaitsForClaimRecords(t *testing.T) {
	runWithGroup(t, func(t *testing.T, g *fakeGroup) {
		repaired := time.Now().Add(7 * time.Second)
		for _, vm := range g.vms {
			vm.control.options.Claims = repairingClaimHolders{repairedAt: repaired}
		}
		_, err := g.client().AddVM(t.Context(), &operatorapi.VMRequest{Name: "c4", Zone: "b", Internal: "c4", Operators: "c4"})
		require.NoError(t, err)
		assert.False(t, time.Now().Before(repaired), "AddVM returned before the claim records were repaired")
	})
}
