// Case 1: a sample whose servers went down in turn is never run again, and its step runs out
// of time.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionsill.org/platform/hosted/hostedtest"

	"review/lab"
)

const (
	engineCount   = 9 // as on the sheet of lentelar-scl, with 8 slots each
	slots         = 8
	items         = engineCount * slots
	events        = 140 // of a text: the sheets' longest have 142 and more
	eventInterval = 40 * time.Millisecond
	firstDown     = 500 * time.Millisecond  // after the submission
	gap           = time.Second             // down for as long as up
	turns         = 3                       // 5 s from the first end to the last start
	expiry        = 3600 * time.Millisecond // three heartbeats: the entry of a silent server goes
	stepDeadline  = 12 * time.Second        // of the sheet
	idleBound     = 5 * time.Second         // of the rule
)

// fleet is the engines, of which those that went down are replaced.
type fleet struct {
	lab   *lab.Lab
	store *hostedtest.Store

	mu    sync.Mutex
	alive []*hostedtest.Server // by place; nil: down
	all   []*hostedtest.Server
	ended map[*hostedtest.Server]time.Time
	back  time.Time // when the last engine was up again
	// halfFull is when the engines were half full for the last time.
	halfFull time.Time
}

func main() { lab.Run(run) }

func run(l *lab.Lab, trouble bool) (bool, error) {
	ctx := context.Background()
	store := hostedtest.NewStore()
	defer store.Close()
	store.Put(hostedtest.TopicOperator, "config", hostedtest.Config(1))
	plain := hostedtest.NewServer("p0", "plain")
	defer plain.Close()
	f := &fleet{lab: l, store: store, alive: make([]*hostedtest.Server, engineCount), ended: map[*hostedtest.Server]time.Time{}}
	for place := range engineCount {
		f.up(place)
	}
	stop := make(chan struct{})
	defer close(stop)
	go lab.Heartbeats(store, func() []*hostedtest.Server { return append(f.running(), plain) }, stop)
	gateways, err := lab.StartGateways(ctx, l, store, 2)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	go f.watch(stop)
	first := &step{id: "step-0", items: hostedtest.Job("step-0", "m", items, 1)["items"].([]map[string]any)}
	if err := first.submit(ctx, l, gateways); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(time.Until(first.submitted.Add(firstDown)))
		for n := range turns {
			f.down(0)
			time.Sleep(gap)
			f.up(0)
			if n+1 < turns {
				time.Sleep(gap)
			}
		}
	}
	first.read(ctx, l, gateways)
	broken := f.judge(first)

	// The next step has as many new groups, and the groups that were not complete first.
	second := &step{id: "step-1", items: first.incompleteGroups()}
	again := len(second.items)
	for _, item := range hostedtest.Job("step-1", "m", max(again, slots), 1)["items"].([]map[string]any) {
		item["group"] = "new-" + item["group"].(string)
		second.items = append(second.items, item)
	}
	l.Note("%d items of step-0 come again in step-1", again)
	if err := second.submit(ctx, l, gateways); err != nil {
		return false, err
	}
	second.read(ctx, l, gateways)
	return f.judge(second) || broken, nil
}

// step is a batch job of the trainer, which waits for all of its groups.
type step struct {
	id        string
	items     []map[string]any
	submitted time.Time
	over      time.Time // when all were listed or the trainer's time was up
	listed    map[string]bool
}

func (s *step) submit(ctx context.Context, l *lab.Lab, gateways []*lab.Gateway) error {
	body, err := json.Marshal(map[string]any{"step": 0, "model": "m", "min_version": 1, "target_groups": len(s.items) / 2, "items": s.items})
	if err != nil {
		return err
	}
	s.submitted, s.listed = time.Now(), map[string]bool{}
	if a := lab.Send(ctx, gateways[0], http.MethodPost, "/jobs/x", s.id, stepDeadline, body); a.Status != http.StatusAccepted {
		return fmt.Errorf("the batch job was answered %d, %v", a.Status, a.Err)
	}
	l.Note("batch job %s with %d items is accepted; its trainer waits until %s", s.id, len(s.items), l.At(s.submitted.Add(stepDeadline)))
	return nil
}

// read reads the results, as the trainer does, until all are listed or its time is up, and ends the job.
func (s *step) read(ctx context.Context, l *lab.Lab, gateways []*lab.Gateway) {
	for i := 0; len(s.listed) < len(s.items) && time.Since(s.submitted) < stepDeadline; i++ {
		a := lab.Send(ctx, gateways[i%len(gateways)], http.MethodGet, hostedtest.PathJob+s.id, "", time.Second, nil)
		var page struct{ Results []struct{ ID string } }
		if a.Status == http.StatusOK && json.Unmarshal(a.Body, &page) == nil {
			for _, r := range page.Results {
				s.listed[r.ID] = true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.over = time.Now()
	l.Note("%d of %d items of %s are listed after %.1f s", len(s.listed), len(s.items), s.id, time.Since(s.submitted).Seconds())
	a := lab.Send(ctx, gateways[0], http.MethodDelete, hostedtest.PathJob+s.id, "", 3*time.Second, nil)
	l.Note("the end of %s is answered %d", s.id, a.Status)
}

// incompleteGroups returns the items of the groups that are not listed whole.
func (s *step) incompleteGroups() []map[string]any {
	incomplete := map[any]bool{}
	for _, item := range s.items {
		if !s.listed[item["id"].(string)] {
			incomplete[item["group"]] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(s.items), func(item map[string]any) bool { return !incomplete[item["group"]] })
}

// up starts an engine at a place.
func (f *fleet) up(place int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := hostedtest.NewEngine(fmt.Sprintf("e%d-%d", place, len(f.all)), "engines", "m")
	e.EventInterval, e.Events, e.Slots = eventInterval, events, slots
	f.alive[place], f.all, f.back = e, append(f.all, e), time.Now()
	f.store.Put(hostedtest.TopicServers, e.ID, e.Entry("ready"))
	f.lab.Note("engine %s is up", e.ID)
}

// down crashes the engine at a place. Its entry goes when it has been silent for three
// heartbeats.
func (f *fleet) down(place int) {
	f.mu.Lock()
	e := f.alive[place]
	f.alive[place] = nil
	f.ended[e] = time.Now()
	f.mu.Unlock()
	f.lab.Note("engine %s goes down with %d requests", e.ID, e.InFlight())
	e.Crash()
	time.AfterFunc(expiry, func() { f.store.Drop(hostedtest.TopicServers, e.ID) })
}

func (f *fleet) running() []*hostedtest.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.alive), func(e *hostedtest.Server) bool { return e == nil })
}

// watch records until when the engines were half full.
func (f *fleet) watch(stop <-chan struct{}) {
	for {
		inFlight, places := 0, 0
		for _, e := range f.running() {
			inFlight, places = inFlight+e.InFlight(), places+e.Slots
		}
		if 2*inFlight >= places {
			f.mu.Lock()
			f.halfFull = time.Now()
			f.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// judge reports whether the step ran out of time while an item that no server had finished or
// failed had been at no server for the bound of the rule, with all engines up and under half full,
// and others of the step had begun.
func (f *fleet) judge(s *step) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	begun := map[string]bool{}
	for _, e := range f.all {
		for _, a := range e.Arrivals() {
			if a.At.After(s.submitted) {
				begun[a.ID] = true
			}
		}
	}
	f.lab.Note("%d items of %s have begun in it; the engines were half full at %s for the last time", len(begun), s.id, f.lab.At(f.halfFull))
	broken := false
	for _, item := range s.items {
		id := item["id"].(string)
		if s.listed[id] {
			continue
		}
		last, finished := f.lastSeen(id)
		since := slices.MaxFunc([]time.Time{last, f.back, f.halfFull, s.submitted}, time.Time.Compare)
		f.lab.Note("item %s is not listed; finished by a server: %v; last at a server at %s; idle by the rule for %.1f s", id, finished, f.lab.At(last), s.over.Sub(since).Seconds())
		if !finished && s.over.Sub(since) > idleBound && len(begun) > 0 {
			broken = true
		}
	}
	return broken
}

// lastSeen returns until when an item was at a server, and whether one finished it.
func (f *fleet) lastSeen(id string) (time.Time, bool) {
	var last time.Time
	finished := false
	for _, e := range f.all {
		for _, a := range e.Arrivals() {
			if a.ID != id {
				continue
			}
			// No run lasts longer than the rest of the text; the end of its server ends it.
			end := a.At.Add(time.Duration(events-a.Resumed) * eventInterval)
			if ended, down := f.ended[e]; down && ended.Before(end) {
				end = ended
			}
			if end.After(last) {
				last = end
			}
		}
		finished = finished || e.HasGenerated(id, events, 1)
	}
	return last, finished
}
