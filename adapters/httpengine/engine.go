// Package httpengine is the adapter of a model engine's HTTP interface.
package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"dandelionsill.org/adapters/internal/rest"
	"dandelionsill.org/adapters/protocol"
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/platform"
)

const (
	callTimeout   = 3 * time.Second  // state, load, events, cancel
	roleTimeout   = 10 * time.Second // order to take a role
	kvTimeout     = 30 * time.Second
	maxKVBytes    = 256 << 20
	maxReplyBytes = 8 << 20 // of an answer to state, load, events or cancel
)

// Engine implements platform.Engine.
type Engine struct{ client *rest.Client }

var _ platform.Engine = (*Engine)(nil)

// New returns an adapter of the engine at base (http://IP:port); name is the name of this
// process.
func New(base, name string) *Engine { return &Engine{rest.New(base, name)} }

// Close closes idle connections.
func (e *Engine) Close() { e.client.Close() }

type completionRequest struct {
	ID           string `json:"id"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Seed         uint64 `json:"seed"`
	Priority     int    `json:"priority"`
	Stream       bool   `json:"stream"`
	ResumeText   string `json:"resume_text,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	KV           []byte `json:"kv,omitempty"`
}

// Generate implements platform.Engine. ctx bounds the whole stream; there is no other
// timeout, because an engine may queue a job for a long time. If the engine answers that
// it does not accept the job, the error is ErrEngineRefused.
func (e *Engine) Generate(ctx context.Context, job platform.GenerateJob) (platform.Stream, error) {
	data, err := json.Marshal(completionRequest{
		ID:           job.ID,
		Model:        job.Model,
		Prompt:       job.Prompt,
		MaxTokens:    job.MaxTokens,
		Seed:         job.Seed,
		Priority:     job.Priority,
		Stream:       true,
		ResumeText:   job.ResumeText,
		ResumeTokens: job.ResumeTokens,
		KV:           job.KV,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	header := map[string]string{"Content-Type": "application/json", "Accept": "text/event-stream"}
	otel.GetTextMapPropagator().Inject(ctx, propagation.MapCarrier(header))
	ctx, cancel := context.WithCancel(ctx)
	resp, _, err := e.client.Do(ctx, rest.Request{
		Method: http.MethodPost,
		Path:   "/v1/completions",
		Header: header,
		Body:   bytes.NewReader(data),
		Size:   int64(len(data)),
	})
	if err != nil {
		cancel()
		return nil, errors.Annotate(err, "engine: generate")
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer rest.DrainAndClose(resp)
		return nil, errors.Trace(fmt.Errorf("%w: %w", platform.ErrEngineRefused, rest.NewStatusError(resp)))
	}
	return newStream(resp.Body, cancel), nil
}

// Cancel implements platform.Engine. It is no error if the job is not running.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	in := struct {
		ID string `json:"id"`
	}{id}
	return e.call(ctx, http.MethodPost, "/v1/cancel", in, nil)
}

// State implements platform.Engine.
func (e *Engine) State(ctx context.Context) (platform.EngineState, error) {
	var s platform.EngineState
	return s, e.call(ctx, http.MethodGet, "/admin/state", nil, &s)
}

// Load implements platform.Engine.
func (e *Engine) Load(ctx context.Context) (platform.EngineLoad, error) {
	var l platform.EngineLoad
	return l, e.call(ctx, http.MethodGet, "/v1/load", nil, &l)
}

// Events implements platform.Engine.
func (e *Engine) Events(ctx context.Context, after uint64) ([]platform.CacheEvent, error) {
	var out struct {
		Events []platform.CacheEvent `json:"events"`
	}
	err := e.call(ctx, http.MethodGet, "/v1/events?after="+strconv.FormatUint(after, 10), nil, &out)
	return out.Events, err
}

// call makes a short call with JSON bodies, bounded by callTimeout.
func (e *Engine) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := e.client.JSON(ctx, method, path, in, out, maxReplyBytes)
	return errors.Annotatef(err, "engine: %s %s", method, path)
}

// LoadWeights implements platform.Engine. The order is sent at most once. The errors are
// ErrFenced, ErrLoadFailed, and ErrOrderUnknown if the answer was lost; any other error
// proves that the engine did not accept the order. ctx bounds the call.
func (e *Engine) LoadWeights(ctx context.Context, info platform.WeightInfo, data io.Reader, token uint64) error {
	resp, sent, err := e.client.Do(ctx, rest.Request{
		Method: http.MethodPost,
		Path:   "/admin/weights",
		Header: map[string]string{
			"Content-Type":          "application/octet-stream",
			protocol.FencingToken:   strconv.FormatUint(token, 10),
			protocol.WeightsModel:   info.Model,
			protocol.WeightsVersion: strconv.FormatUint(info.Version, 10),
			protocol.WeightsDigest:  info.Digest,
		},
		Body: data,
		Size: info.Bytes,
	})
	if err != nil {
		return orderError(sent, err)
	}
	defer rest.DrainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return orderError(true, rest.NewStatusError(resp))
	}
	return nil
}

// SetRole implements platform.Engine. Its errors are those of LoadWeights.
func (e *Engine) SetRole(ctx context.Context, role string, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	in := struct {
		Role  string `json:"role"`
		Token uint64 `json:"token"`
	}{role, token}
	sent, err := e.client.JSON(ctx, http.MethodPost, "/admin/role", in, nil, 0)
	if err != nil {
		return orderError(sent, err)
	}
	return nil
}

// orderError returns the error of a failed order; sent reports whether the engine may have
// received it.
func orderError(sent bool, err error) error {
	code := rest.StatusCode(err)
	switch {
	case code == http.StatusConflict:
		return errors.Trace(platform.ErrFenced)
	case code == http.StatusInternalServerError:
		return errors.Trace(fmt.Errorf("%w: %w", platform.ErrLoadFailed, err))
	case code >= 400 && code < 500, !sent:
		return errors.Annotate(err, "engine: order not taken")
	}
	return errors.Trace(fmt.Errorf("%w: %w", platform.ErrOrderUnknown, err))
}

// ExportKV implements platform.Engine. The error is ErrNotFound for an unknown job.
func (e *Engine) ExportKV(ctx context.Context, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	resp, _, err := e.client.Do(ctx, rest.Request{Method: http.MethodGet, Path: "/v1/kv/" + url.PathEscape(id)})
	if err != nil {
		return nil, errors.Annotate(err, "engine: export kv")
	}
	defer rest.DrainAndClose(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, errors.Annotate(platform.ErrNotFound, "engine: export kv")
	default:
		return nil, errors.Annotate(rest.NewStatusError(resp), "engine: export kv")
	}
	data, err := outbound.ReadBody(resp.Body, maxKVBytes)
	return data, errors.Annotate(err, "engine: export kv")
}
