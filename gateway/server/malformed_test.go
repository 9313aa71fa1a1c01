package server

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/outbound/outboundtest"
)

// Failure: a gateway, or what has its address now, answers an agent with a head that is none. Guards against an agent that follows
// other models because of it.
func TestMalformedModelRegionsAreRefused(t *testing.T) {
	m := newModelRegions(nil, nil, zap.NewNop())
	for name, raw := range outboundtest.OK(`{"m": "a.b"}`).Malformed() {
		server := outboundtest.NewServer(t, raw)
		_, err := m.ask(t.Context(), server.Addr)
		require.ErrorIs(t, err, outbound.ErrMalformed, name)
		server.RequireClosed(t)
	}
}

// Failure: a gateway resets the connection after an answer without a length. Guards against an agent that follows a part of it.
func TestResetModelRegionsAreRefused(t *testing.T) {
	server := outboundtest.NewResettingServer(t, outboundtest.OK(`{"m": "a.b"`).WithoutLength())
	_, err := newModelRegions(nil, nil, zap.NewNop()).ask(t.Context(), server.Addr)
	require.Error(t, err)
}
