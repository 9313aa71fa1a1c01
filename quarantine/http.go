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
)

// PathPeers is where a process takes what its peers saw.
const PathPeers = "/quarantine"

// maxBatchBytes is more than the changes of one call take.
const maxBatchBytes = 64 << 10

// HTTPPeers tells peers by HTTP. It implements Peers.
type HTTPPeers struct {
	addrs func() []string
	http  *http.Client
}

// NewHTTPPeers returns the peers at the addresses (IP:port) that addrs returns.
func NewHTTPPeers(addrs func() []string) *HTTPPeers {
	return &HTTPPeers{addrs: addrs, http: &http.Client{Transport: &http.Transport{DisableCompression: true, IdleConnTimeout: time.Minute}}}
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBatchBytes)) // so that the connection is kept
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// ServeHTTP takes what a peer saw.
func (q *Quarantine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var changes []Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBatchBytes)).Decode(&changes); err != nil {
		q.log.Warn("A peer's word can't be read.", zap.String("peer", r.RemoteAddr), zap.Error(err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q.Apply("peer", changes)
	w.WriteHeader(http.StatusNoContent)
}
