package dev

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// Guards against a StartCell that waits until its deadline for an entry host that
// has already exited, and then reports only that the host is not ready.
func TestStartCellReportsEndedHost(t *testing.T) {
	platform, err := StartPlatform(nil, standin.WorkerOptions{})
	require.NoError(t, err)
	defer platform.Close()
	all, err := platform.Settings(NewFailureDomains(1))
	require.NoError(t, err)
	taken, err := net.Listen("tcp", all[0].Listen.Operators)
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	_, err = StartCell(ctx, all, logr.Discard())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
	require.ErrorContains(t, err, all[0].Listen.Operators)
}

// Guards against a simulated log outage that loses records or changes the log's
// address.
func TestToggleLog(t *testing.T) {
	platform, err := StartPlatform(nil, standin.WorkerOptions{})
	require.NoError(t, err)
	defer platform.Close()
	offset, err := platform.Log.Append(t.Context(), []byte("record"))
	require.NoError(t, err)
	for _, want := range []bool{false, true} {
		served, err := platform.ToggleLog()
		require.NoError(t, err)
		require.Equal(t, want, served)
		conn, err := net.Dial("tcp", platform.LogAddress)
		require.Equal(t, want, err == nil)
		if err == nil {
			_ = conn.Close()
		}
	}
	reply, err := platform.Log.Read(t.Context(), offset, 10)
	require.NoError(t, err)
	require.Len(t, reply.Records, 1)
}

// Guards against a drained host that no longer replies to operators but still
// listens on one of its ports, so that its replacement can't start.
func TestDrainedHostFreesItsPorts(t *testing.T) {
	domains := NewFailureDomains(2)
	platform, err := StartPlatform(OrderDesk.Workers(domains), standin.WorkerOptions{})
	require.NoError(t, err)
	defer platform.Close()
	require.NoError(t, platform.Publish(contract.Sample()))
	all, err := platform.Settings(domains)
	require.NoError(t, err)
	cell, err := StartCell(t.Context(), all, logr.Discard())
	require.NoError(t, err)
	listen := all[0].Listen
	client, err := operator.New(operator.Options{Addresses: []string{listen.Operators}, Token: all[0].OperatorToken})
	require.NoError(t, err)
	defer client.Close()
	require.NoError(t, client.Drain(t.Context()))
	for err == nil {
		_, err = client.Hosts(t.Context())
		time.Sleep(time.Millisecond)
	}
	for _, address := range []string{listen.Operators, listen.Callers, listen.Peers} {
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
	require.NoError(t, cell.Drain(1))
}
