package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/base/outbound"
)

// PathPeers is the HTTP path at which a process receives changes from its peers.
const PathPeers = "/quarantine"

// maxBatchBytes is the maximum size of a body. A call with the maximum number of changes is
// smaller.
const maxBatchBytes = 64 << 10

// HTTPPeers sends changes to peers by HTTP. It implements Peers.
type HTTPPeers struct {
	addrs func() []string
	http  *http.Client
}

// NewHTTPPeers returns the peers at the addresses (IP:port) that addrs returns.
func NewHTTPPeers(addrs func() []string) *HTTPPeers {
	return &HTTPPeers{addrs: addrs, http: &http.Client{Transport: outbound.NewTransport(&http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute})}}
}

// Addrs implements Peers.
func (p *HTTPPeers) Addrs() []string { return p.addrs() }

// Close closes idle connections.
func (p *HTTPPeers) Close() { p.http.CloseIdleConnections() }

// Send implements Peers.
func (p *HTTPPeers) Send(ctx context.Context, addr string, changes []Change) error {
	body, err := json.Marshal(changes)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathPeers, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBatchBytes)) // so that the connection is reused
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("peer answered with status %d", resp.StatusCode)
	}
	return nil
}

// ServeHTTP applies the changes that a peer sent.
func (q *Quarantine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var changes []Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBatchBytes)).Decode(&changes); err != nil {
		q.log.Warn("Cannot decode the changes that a peer sent.", zap.String("peer", r.RemoteAddr), zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q.Apply("peer", changes)
	w.WriteHeader(http.StatusNoContent)
}
