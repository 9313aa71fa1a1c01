package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"
)

// Gateway is a gateway process.
type Gateway struct {
	Name    string
	Callers string // address for callers
	ready   string
	peers   string
	permits string
	store   string
}

// NewGateway returns a gateway that is not started yet.
func NewGateway(name string, store *hostedtest.Store) *Gateway {
	return &Gateway{Name: name, Callers: FreeAddr(), ready: FreeAddr(), peers: FreeAddr(), permits: FreeAddr(), store: store.Addr()}
}

// Start starts the gateway's process with settings like those that deploy/gateway.ini renders.
func (g *Gateway) Start(l *Lab) error {
	return l.Start(g.Name, "dandelion-gateway", fmt.Sprintf(
		"[process]\nname = %s\nfailure_domain = zone-a\ngrace = 8s\nmetrics = %s\n[topology]\nregions = zone-a:r,zone-b:r,zone-c:r\n[store]\naddress = %s\nparts = 12\nreads_per_s = 2000\n"+
			"[listen]\ncallers = %s\nready = %s\npeers = %s\n[permits]\nlisten = %s\n[vm]\ncpu_share = 0.8\nlink_mbps = 1000\nmemory_mb = 314\n",
		g.Name, FreeAddr(), g.store, g.Callers, g.ready, g.peers, g.permits))
}

// StartOrders starts the orders process beside an engine with settings like those that
// deploy/orders.ini renders.
func StartOrders(l *Lab, name string, store *hostedtest.Store, engine *hostedtest.Server) error {
	return l.Start(name, "dandelion-orders", fmt.Sprintf(
		"[process]\nname = %s\nfailure_domain = %s\ngrace = 8s\nmetrics = %s\n[topology]\nregions = zone-a:r,zone-b:r,zone-c:r\n"+
			"[store]\naddress = %s\nreads_per_s = 2000\n[engine]\naddress = %s\n",
		name, engine.FailureDomain, FreeAddr(), store.Addr(), engine.Addr()))
}

// IsReady reports whether the gateway answers the readiness check with 200.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/" + "-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartGateways starts gateways and waits until they are ready.
func StartGateways(ctx context.Context, l *Lab, store *hostedtest.Store, n int) ([]*Gateway, error) {
	var all []*Gateway
	for i := range n {
		g := NewGateway(fmt.Sprintf("front-%d", i), store)
		if err := g.Start(l); err != nil {
			return nil, err
		}
		all = append(all, g)
	}
	for _, g := range all {
		if !Eventually(ctx, 20*time.Second, g.IsReady) {
			return nil, fmt.Errorf("%s is not ready", g.Name)
		}
	}
	l.Note("%d gateways are ready", n)
	return all, nil
}

// Answer is the answer to a client's attempt.
type Answer struct {
	Status int // 0: no complete answer
	Body   []byte
	Err    error
}

// Send makes one attempt on a new connection and waits for the answer until ctx ends.
func Send(ctx context.Context, gateway *Gateway, method, path, id string, deadline time.Duration, body []byte) Answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.Callers+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = "app.example"
	req.Header.Set(hostedtest.HeaderAttempt, id)
	req.Header.Set(hostedtest.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: resp.StatusCode, Body: data}
}

// Heartbeats writes the entries of servers each 1.2 s, as the servers do, until stop is closed.
// servers is called for each round.
func Heartbeats(store *hostedtest.Store, servers func() []*hostedtest.Server, stop <-chan struct{}) {
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, s := range servers() {
			store.Put(hostedtest.TopicServers, s.ID, s.Entry("ready"))
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}
