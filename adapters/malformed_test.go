package adapters_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httpengine"
	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/adapters/httpstore"
	"dandelionsill.org/adapters/httpvms"
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/outbound/outboundtest"
	"dandelionsill.org/platform"
)

// Failure: a service of the platform answers with a head that is none. Guards against every adapter that believes it: an append or
// an order that counts as taken or refused, a list, a state, a stream or weights that nobody sent.
func TestMalformedAnswersAreNotBelieved(t *testing.T) {
	calls := map[string]struct {
		body string
		call func(url string) error
		want error // nil: any
	}{
		"append": {`{"offset":7}`, func(url string) error {
			_, err := httplog.New(url, clientName).Append(t.Context(), platform.StreamControl, []byte("x"))
			return err
		}, platform.ErrAppendUnknown},
		"read": {`{"records":[],"next":7,"end":7}`, func(url string) error {
			_, err := httplog.New(url, clientName).Read(t.Context(), platform.StreamControl, 0, 10, 0)
			return err
		}, nil},
		"order": {"", func(url string) error {
			return httpengine.New(url, clientName).LoadWeights(t.Context(), platform.WeightInfo{Model: "m", Version: 1, Bytes: 1}, bytes.NewReader([]byte("w")), 3)
		}, platform.ErrOrderUnknown},
		"role":   {"", func(url string) error { return httpengine.New(url, clientName).SetRole(t.Context(), "x", 3) }, platform.ErrOrderUnknown},
		"state":  {"{}", func(url string) error { _, err := httpengine.New(url, clientName).State(t.Context()); return err }, nil},
		"load":   {"{}", func(url string) error { _, err := httpengine.New(url, clientName).Load(t.Context()); return err }, nil},
		"events": {"{}", func(url string) error { _, err := httpengine.New(url, clientName).Events(t.Context(), 0); return err }, nil},
		"cancel": {"", func(url string) error { return httpengine.New(url, clientName).Cancel(t.Context(), "x") }, nil},
		"memory of a job": {"kv", func(url string) error {
			_, err := httpengine.New(url, clientName).ExportKV(t.Context(), "x")
			return err
		}, nil},
		"stream": {"data: {}\n\n", func(url string) error {
			s, err := httpengine.New(url, clientName).Generate(t.Context(), platform.GenerateJob{ID: "x", MaxTokens: 1})
			if err == nil {
				_ = s.Close()
			}
			return err
		}, nil},
		"list of VMs": {"[]", func(url string) error { _, err := httpvms.New(url, clientName).List(t.Context()); return err }, nil},
		"weights": {"w", func(url string) error {
			data, _, err := httpstore.New(url, clientName).Fetch(t.Context(), "m", 1)
			if err == nil {
				_ = data.Close()
			}
			return err
		}, nil},
		"upload of weights": {"", func(url string) error {
			return httpstore.New(url, clientName).Put(t.Context(), platform.WeightInfo{Model: "m", Version: 1, Bytes: 1}, bytes.NewReader([]byte("w")))
		}, nil},
		"newest weights": {"{}", func(url string) error { _, err := httpstore.New(url, clientName).Latest(t.Context(), "m"); return err }, nil},
	}
	for name, c := range calls {
		for _, status := range []int{http.StatusOK, http.StatusConflict, http.StatusServiceUnavailable} {
			for fault, raw := range (outboundtest.Answer{Status: status, Body: c.body}).Malformed() {
				server := outboundtest.NewServer(t, raw)
				err := c.call(server.URL())
				require.ErrorIs(t, err, outbound.ErrMalformed, "%s: %s", name, fault)
				require.NotErrorIs(t, err, platform.ErrEngineRefused, "%s: %s", name, fault)
				if c.want != nil {
					require.ErrorIs(t, err, c.want, "%s: %s", name, fault)
				}
				require.Equal(t, 1, server.Requests(), "%s: %s", name, fault)
				server.RequireClosed(t)
			}
		}
	}
}

// Failure: a service of the platform answers at once with a part and resets the connection. Guards against an adapter that believes the
// part, whether the write or the read learns of the reset.
func TestResetAnswersAreNotBelieved(t *testing.T) {
	long := bytes.Repeat([]byte("x"), outboundtest.UploadBytes)
	server := outboundtest.NewResettingServer(t, outboundtest.OK("").WithoutLength())
	for round := range outboundtest.ResetRounds {
		log := httplog.New(server.URL(), clientName)
		_, err := log.Append(t.Context(), platform.StreamControl, long)
		require.ErrorIs(t, err, platform.ErrAppendUnknown, "round %d", round)
		engine := httpengine.New(server.URL(), clientName)
		s, err := engine.Generate(t.Context(), platform.GenerateJob{ID: "x", Prompt: string(long), MaxTokens: 1})
		if err == nil {
			_, err = s.Next()
			_ = s.Close()
		}
		require.Error(t, err, "round %d", round)
		require.NotErrorIs(t, err, io.EOF)
	}
	engine := httpengine.New(server.URL(), clientName)
	_, err := engine.State(t.Context())
	require.Error(t, err)
	_, err = engine.ExportKV(t.Context(), "x")
	require.Error(t, err)
	_, err = httpvms.New(server.URL(), clientName).List(t.Context())
	require.Error(t, err)
	weights, _, err := httpstore.New(server.URL(), clientName).Fetch(t.Context(), "m", 1)
	if err == nil {
		_, err = io.ReadAll(weights)
		_ = weights.Close()
	}
	require.Error(t, err)
}
