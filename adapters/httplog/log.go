// Package httplog is the adapter of the platform's log service.
package httplog

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/adapters/internal/rest"
	"dandelionsill.org/platform"
)

const (
	appendTimeout = 5 * time.Second
	readExtraTime = 5 * time.Second // timeout of a read beyond its wait
	maxPageBytes  = 64 << 20
)

// Log implements platform.Log.
type Log struct{ client *rest.Client }

var _ platform.Log = (*Log)(nil)

// New returns an adapter of the log at base (http://IP:port); name is the name of this
// process.
func New(base, name string) *Log { return &Log{rest.New(base, name)} }

// Close closes idle connections.
func (l *Log) Close() { l.client.Close() }

func path(stream, verb string) string {
	return "/streams/" + url.PathEscape(stream) + "/" + verb
}

// Append implements platform.Log. The record is sent at most once.
//
// The outcome is unknown if the answer is lost, truncated or invalid. Only a failure
// before a connection was established, or the log's own refusal, proves that the record
// was not appended.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	resp, sent, err := l.client.Do(ctx, rest.Request{
		Method: http.MethodPost,
		Path:   path(stream, "append"),
		Body:   bytes.NewReader(data),
		Size:   int64(len(data)),
	})
	if err != nil {
		kind := platform.ErrLogUnavailable
		if sent {
			kind = platform.ErrAppendUnknown
		}
		return 0, errors.Trace(fmt.Errorf("%w: %w", kind, err))
	}
	defer rest.DrainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Trace(fmt.Errorf("%w: %w", appendError(resp.StatusCode), rest.NewStatusError(resp)))
	}
	var answer struct {
		Offset *uint64 `json:"offset"`
	}
	if err := rest.Decode(resp, &answer, 0); err != nil {
		return 0, errors.Trace(fmt.Errorf("%w: %w", platform.ErrAppendUnknown, err))
	}
	if answer.Offset == nil {
		return 0, errors.Annotate(platform.ErrAppendUnknown, "answer without offset")
	}
	return *answer.Offset, nil
}

func appendError(status int) error {
	switch {
	case status == http.StatusTooManyRequests:
		return platform.ErrRate
	case status == http.StatusServiceUnavailable:
		return platform.ErrLogUnavailable
	case status >= 400 && status < 500:
		return platform.ErrLogRefused
	}
	return platform.ErrAppendUnknown
}

type page struct {
	Records []struct {
		Offset uint64 `json:"offset"`
		TimeMS int64  `json:"time_ms"`
		Data   []byte `json:"data"`
	} `json:"records"`
	Next  *uint64 `json:"next"`
	First *uint64 `json:"first"`
	End   *uint64 `json:"end"`
}

// decode validates and converts a page. A 200 from a server that is not a log (a load
// balancer's page, "{}") must be rejected: if a missing end were read as 0, every reader
// would conclude that the log was reset, and each idempotency key that callers repeat would
// be answered with "outcome unknown" for the whole key window.
func (p page) decode(from uint64) (platform.Page, error) {
	if p.Next == nil || p.First == nil || p.End == nil {
		return platform.Page{}, errors.NotValidf("page without next, first or end")
	}
	out := platform.Page{Next: *p.Next, First: *p.First, End: *p.End}
	minOffset := from
	for _, r := range p.Records {
		if r.Offset < minOffset || r.Offset >= out.End {
			return platform.Page{}, errors.NotValidf("page with a record at offset %d where at least %d and less than %d may be", r.Offset, minOffset, out.End)
		}
		minOffset = r.Offset + 1
		out.Records = append(out.Records, platform.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMS), Data: r.Data})
	}
	reset := out.End < from // the log has lost records that were read; End shows it to the reader
	if !reset && (out.Next < minOffset || out.Next > out.End) {
		return platform.Page{}, errors.NotValidf("page that goes on at offset %d", out.Next)
	}
	return out, nil
}

// decodeTruncated converts the answer for an offset that is no longer kept.
func (p page) decodeTruncated() (platform.Page, error) {
	if p.First == nil || p.End == nil || *p.First > *p.End {
		return platform.Page{}, errors.NotValidf("truncation without first and end")
	}
	return platform.Page{Next: *p.First, First: *p.First, End: *p.End}, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readExtraTime)
	defer cancel()
	query := fmt.Sprintf("?from=%d&max=%d&wait_ms=%d", from, limit, wait.Milliseconds())
	resp, _, err := l.client.Do(ctx, rest.Request{Method: http.MethodGet, Path: path(stream, "read") + query})
	if err != nil {
		return platform.Page{}, errors.Annotate(err, "log: read")
	}
	defer rest.DrainAndClose(resp)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusGone:
	case http.StatusServiceUnavailable:
		return platform.Page{}, errors.Annotate(platform.ErrLogUnavailable, "read")
	default:
		return platform.Page{}, errors.Annotate(rest.NewStatusError(resp), "log: read")
	}
	var p page
	if err := rest.Decode(resp, &p, maxPageBytes); err != nil {
		return platform.Page{}, errors.Annotate(err, "log: read")
	}
	if resp.StatusCode == http.StatusGone {
		out, err := p.decodeTruncated()
		if err != nil {
			return out, errors.Annotate(err, "log: read")
		}
		return out, errors.Trace(platform.ErrTruncated)
	}
	out, err := p.decode(from)
	return out, errors.Annotate(err, "log: read")
}
