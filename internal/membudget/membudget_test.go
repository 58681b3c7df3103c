package membudget

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// endless is a body without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestReadAllReturnsTheBodyAndItsBytes(t *testing.T) {
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, 100_000} {
		budget := New(1 << 20)
		account := budget.Account("peer")
		body := strings.Repeat("x", size)
		read, err := ReadAll(iotest.OneByteReader(strings.NewReader(body)), 100_000, account)
		require.NoError(t, err)
		require.Equal(t, body, string(read))
		require.GreaterOrEqual(t, budget.UsedBytes(), int64(size))
		account.Release()
		require.Zero(t, budget.UsedBytes())
		require.Empty(t, budget.peers)
	}
}

func TestReadAllStopsAtItsLimit(t *testing.T) {
	for _, limit := range []int64{0, 1, firstBytes, 100_000} {
		_, err := ReadAll(endless{}, limit, nil)
		require.ErrorIs(t, err, ErrTooLarge)
		_, err = ReadAll(bytes.NewReader(make([]byte, limit+1)), limit, nil)
		require.ErrorIs(t, err, ErrTooLarge)
	}
	broken := errors.New("reset")
	_, err := ReadAll(iotest.ErrReader(broken), 10, nil)
	require.ErrorIs(t, err, broken)
}

// Bodies without end of many servers must not use up the share of small bodies.
func TestSmallBodiesAreReadBesideManyBodiesWithoutEnd(t *testing.T) {
	const limit = 23 << 20 // that of an entry VM with 184 MB
	budget := New(limit)
	var accounts []*Account
	for i := range 40 {
		account := budget.Account(fmt.Sprintf("server-%d", i))
		accounts = append(accounts, account)
		_, err := ReadAll(endless{}, 8<<20, account)
		require.Error(t, err)
	}
	require.LessOrEqual(t, budget.UsedBytes(), int64(limit))
	for i := range 20 {
		account := budget.Account(fmt.Sprintf("other-%d", i))
		accounts = append(accounts, account)
		_, err := ReadAll(io.LimitReader(endless{}, 20_000), 8<<20, account)
		require.NoError(t, err, "small body %d", i)
	}
	for _, account := range accounts {
		account.Release()
	}
	require.Zero(t, budget.UsedBytes())
}

func TestOnePeerDoesNotUseUpTheBudget(t *testing.T) {
	budget := New(8 << 20)
	for range 10 {
		_, _ = ReadAll(endless{}, 8<<20, budget.Account("server"))
	}
	require.LessOrEqual(t, budget.UsedBytes(), int64(4<<20))
	_, err := ReadAll(io.LimitReader(endless{}, 1<<20), 8<<20, budget.Account("other"))
	require.NoError(t, err)
}

func TestBudgetIsKeptByConcurrentBuffers(t *testing.T) {
	budget := New(1 << 20)
	var running sync.WaitGroup
	for i := range 50 {
		running.Go(func() {
			account := budget.Account(fmt.Sprint(i))
			defer account.Release()
			_, _ = ReadAll(io.LimitReader(endless{}, int64(i)<<12), 1<<20, account)
		})
	}
	running.Wait()
	require.Zero(t, budget.UsedBytes())
}
