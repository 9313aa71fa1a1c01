// Package hosted is the demo of the prepared machines: it plays the platform
// (store, engines, a plain server), writes the settings of the gateways and
// agents to run before it, and is their trainer.
package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform/hosted/hostedtest"
)

// Options of the demo.
type Options struct {
	Dir      string // where settings are written
	Engines  int
	Gateways []string // callers' addresses, IP:port
	Ready    []string // addresses of the gateways' readiness
	Peers    []string
	Steps    int
	Items    int
}

// Times of the demo.
const (
	eventPace = 10 * time.Millisecond
	events    = 120
	pause     = 100 * time.Millisecond
	stepMost  = 20 * time.Second
)

const model = "m"

// Command returns the subcommand "hosted" of dandelion-standin.
func Command() *ffcli.Command {
	var o Options
	var gateways, ready, peers string
	fs := flag.NewFlagSet("dandelion-standin hosted", flag.ContinueOnError)
	fs.StringVar(&o.Dir, "dir", "run/hosted", "folder for the settings of the processes")
	fs.IntVar(&o.Engines, "engines", 3, "model engines")
	fs.StringVar(&gateways, "gateways", "127.0.0.1:17301,127.0.0.1:17302", "callers' addresses of the gateways")
	fs.StringVar(&ready, "ready", "127.0.0.1:17311,127.0.0.1:17312", "addresses of the gateways' readiness")
	fs.StringVar(&peers, "peers", "127.0.0.1:17321,127.0.0.1:17322", "addresses where gateways pass calls on")
	fs.IntVar(&o.Steps, "steps", 4, "steps to ask for")
	fs.IntVar(&o.Items, "items", 16, "samples of a step")
	return &ffcli.Command{
		Name:       "hosted",
		ShortUsage: "dandelion-standin hosted --dir FOLDER [flags]",
		ShortHelp:  "the prepared machines' platform, and a trainer",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Gateways, o.Ready, o.Peers = strings.Split(gateways, ","), strings.Split(ready, ","), strings.Split(peers, ",")
			if len(o.Ready) != len(o.Gateways) || len(o.Peers) != len(o.Gateways) {
				return errors.New("as many addresses of each kind are needed as there are gateways")
			}
			return run(ctx, o)
		},
	}
}

// demo is the platform and the trainer.
type demo struct {
	Options
	store *hostedtest.Store
	http  *http.Client
}

func run(ctx context.Context, o Options) error {
	d := &demo{Options: o, store: hostedtest.NewStore(), http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	defer d.store.Close()
	d.store.Put(hostedtest.TopicOperator, "config", hostedtest.Config(1))
	plain := hostedtest.NewServer("p0", "plain")
	defer plain.Close()
	d.store.Put(hostedtest.TopicServers, plain.ID, plain.Entry("ready"))
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	for i := range o.Engines {
		e := hostedtest.NewEngine(fmt.Sprintf("e%d", i), "engines", model)
		defer e.Close()
		e.EventInterval, e.Events = eventPace, events
		d.store.Put(hostedtest.TopicServers, e.ID, e.Entry("ready"))
		if err := d.settings(fmt.Sprintf("orders-%d", i), "[engine]\naddress = "+e.Addr()+"\n"); err != nil {
			return err
		}
	}
	for i, addr := range o.Gateways {
		more := fmt.Sprintf("[listen]\ncallers = %s\nready = %s\npeers = %s\n", addr, o.Ready[i], o.Peers[i])
		if err := d.settings(fmt.Sprintf("gateway-%d", i), more); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "ready"), nil, 0o644); err != nil {
		return errors.Trace(err)
	}
	return d.train(ctx)
}

// settings writes the settings file of one process.
func (d *demo) settings(name, more string) error {
	text := fmt.Sprintf("[process]\nname = %s\nfailure_domain = zone-a\n[store]\naddress = %s\n%s", name, d.store.Addr(), more)
	return errors.Trace(os.WriteFile(filepath.Join(d.Dir, name+".ini"), []byte(text), 0o644))
}

// train asks for one step after the other and checks each sample.
func (d *demo) train(ctx context.Context) error {
	for step := range d.Steps {
		begin := time.Now()
		if step > 0 {
			d.store.Put(hostedtest.TopicOperator, "version/"+model, map[string]any{"model": model, "version": step + 1})
		}
		job := fmt.Sprintf("step-%d", step)
		if err := d.step(ctx, job, uint64(max(1, step))); err != nil {
			return errors.Annotatef(err, "step %d", step)
		}
		fmt.Printf("step %d: %d samples, whole and labelled, after %.1f s\n", step, d.Items, time.Since(begin).Seconds())
	}
	return nil
}

func (d *demo) step(ctx context.Context, job string, floor uint64) error {
	ctx, cancel := context.WithTimeout(ctx, stepMost)
	defer cancel()
	body, err := json.Marshal(hostedtest.Job(job, model, d.Items, floor))
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.until(ctx, func(gateway string) bool {
		status, _ := d.ask(ctx, http.MethodPost, gateway, "/jobs/x", job, body)
		return status == http.StatusAccepted
	}); err != nil {
		return errors.Annotate(err, "not accepted")
	}
	var page struct {
		Results []struct {
			ID, Text string
			Versions []uint64
		}
	}
	if err := d.until(ctx, func(gateway string) bool {
		status, data := d.ask(ctx, http.MethodGet, gateway, hostedtest.PathJob+job, "", nil)
		return status == http.StatusOK && json.Unmarshal(data, &page) == nil && len(page.Results) == d.Items
	}); err != nil {
		return errors.Annotatef(err, "%d of %d results", len(page.Results), d.Items)
	}
	for _, r := range page.Results {
		if r.Text != hostedtest.Text(r.ID, events) {
			return errors.Errorf("the text of %s is not whole", r.ID)
		}
		for _, v := range r.Versions {
			if v < floor {
				return errors.Errorf("sample %s was made by version %d, older than %d", r.ID, v, floor)
			}
		}
	}
	return nil
}

// until asks the gateways in turn until one does.
func (d *demo) until(ctx context.Context, ok func(gateway string) bool) error {
	for i := 0; ; i++ {
		if ok(d.Gateways[i%len(d.Gateways)]) {
			return nil
		}
		if !sleep.For(ctx, pause) {
			return errors.Trace(ctx.Err())
		}
	}
}

// ask sends a request; status 0: there was no answer.
func (d *demo) ask(ctx context.Context, method, gateway, path, id string, body []byte) (int, []byte) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+gateway+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = "app.example"
	r.Header.Set(hostedtest.HeaderAttempt, id)
	r.Header.Set(hostedtest.HeaderDeadline, "3000")
	resp, err := d.http.Do(r)
	if err != nil {
		return 0, nil // the caller goes to the next gateway
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}
