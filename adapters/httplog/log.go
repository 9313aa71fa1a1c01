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
	readSlack     = 5 * time.Second // beyond the wait that was asked for
	maxPage       = 64 << 20        // bytes
)

// Log implements platform.Log.
type Log struct{ c *rest.Client }

var _ platform.Log = (*Log)(nil)

// New makes an adapter of the log at base (http://IP:port); name is the name
// of this process.
func New(base, name string) *Log { return &Log{rest.New(base, name)} }

// Close closes idle connections.
func (l *Log) Close() { l.c.Close() }

func path(stream, verb string) string {
	return "/streams/" + url.PathEscape(stream) + "/" + verb
}

// Append implements platform.Log. The record is sent at most once.
//
// An answer that is lost, cut short or not understood leaves the outcome
// unknown. Only a failure before a connection was had, or the log's own
// refusal, proves that the record was not taken.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	resp, sent, err := l.c.Do(ctx, rest.Request{
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

// decoded checks and converts a page. A 200 from something that is no log (a
// balancer's page, "{}") must not pass for one: with a missing end read as 0
// every reader would take the log for reset, and each key that callers repeat
// would answer "outcome unknown" for the whole key window.
func (p page) decoded(from uint64) (platform.Page, error) {
	if p.Next == nil || p.First == nil || p.End == nil {
		return platform.Page{}, errors.NotValidf("page without next, first or end")
	}
	out := platform.Page{Next: *p.Next, First: *p.First, End: *p.End}
	least := from
	for _, r := range p.Records {
		if r.Offset < least || r.Offset >= out.End {
			return platform.Page{}, errors.NotValidf("page with a record at offset %d where at least %d and less than %d may be", r.Offset, least, out.End)
		}
		least = r.Offset + 1
		out.Records = append(out.Records, platform.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMS), Data: r.Data})
	}
	reset := out.End < from // the log lost records that were read; the reader sees it by End
	if !reset && (out.Next < least || out.Next > out.End) {
		return platform.Page{}, errors.NotValidf("page that goes on at offset %d", out.Next)
	}
	return out, nil
}

// truncated converts the answer that an offset is no longer kept.
func (p page) truncated() (platform.Page, error) {
	if p.First == nil || p.End == nil || *p.First > *p.End {
		return platform.Page{}, errors.NotValidf("truncation without first and end")
	}
	return platform.Page{Next: *p.First, First: *p.First, End: *p.End}, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	query := fmt.Sprintf("?from=%d&max=%d&wait_ms=%d", from, limit, wait.Milliseconds())
	resp, _, err := l.c.Do(ctx, rest.Request{Method: http.MethodGet, Path: path(stream, "read") + query})
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
	if err := rest.Decode(resp, &p, maxPage); err != nil {
		return platform.Page{}, errors.Annotate(err, "log: read")
	}
	if resp.StatusCode == http.StatusGone {
		out, err := p.truncated()
		if err != nil {
			return out, errors.Annotate(err, "log: read")
		}
		return out, errors.Trace(platform.ErrTruncated)
	}
	out, err := p.decoded(from)
	return out, errors.Annotate(err, "log: read")
}
