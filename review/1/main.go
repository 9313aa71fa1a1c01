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

	body, err := json.Marshal(hostedtest.Job("step-0", "m", items, 1))
	if err != nil {
		return false, err
	}
	submitted := time.Now()
	if a := lab.Send(ctx, gateways[0], http.MethodPost, "/jobs/x", "step-0", stepDeadline, body); a.Status != http.StatusAccepted {
		return false, fmt.Errorf("the batch job was answered %d, %v", a.Status, a.Err)
	}
	l.Note("batch job step-0 with %d items is accepted; its trainer waits for all of them until %s", items, l.At(submitted.Add(stepDeadline)))
	if trouble {
		time.Sleep(time.Until(submitted.Add(firstDown)))
		for n := range turns {
			f.down(0)
			time.Sleep(gap)
			f.up(0)
			if n+1 < turns {
				time.Sleep(gap)
			}
		}
	}
	listed := readUntil(ctx, gateways, submitted.Add(stepDeadline))
	l.Note("%d of %d items are listed when the step runs out of time", len(listed), items)
	return f.judge(listed), nil
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

// readUntil reads the step's results, as its trainer does, until all are listed or the time ends.
func readUntil(ctx context.Context, gateways []*lab.Gateway, end time.Time) map[string]bool {
	listed := map[string]bool{}
	for i := 0; len(listed) < items && time.Now().Before(end); i++ {
		a := lab.Send(ctx, gateways[i%len(gateways)], http.MethodGet, hostedtest.PathJob+"step-0", "", time.Second, nil)
		var page struct{ Results []struct{ ID, State string } }
		if a.Status == http.StatusOK && json.Unmarshal(a.Body, &page) == nil {
			for _, r := range page.Results {
				listed[r.ID] = true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return listed
}

// judge reports whether an item that no server has finished or failed has been at no server for
// the bound of the rule, though others began and the servers are under half full.
func (f *fleet) judge(listed map[string]bool) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	begun, inFlight, places := map[string]bool{}, 0, 0
	for _, e := range f.alive {
		if e != nil {
			inFlight, places = inFlight+e.InFlight(), places+e.Slots
		}
	}
	for _, e := range f.all {
		for _, a := range e.Arrivals() {
			begun[a.ID] = true
			if len(f.ended) == 0 || f.alive[0] != e && f.ended[e].IsZero() && a.Resumed == 0 {
				continue // the record shows the runs that went down or were moved
			}
			f.lab.Note("item %s reached %s at %s, resumed after event %d", a.ID, e.ID, f.lab.At(a.At), a.Resumed)
		}
	}
	f.lab.Note("%d requests at the engines, which have %d slots; %d items have begun", inFlight, places, len(begun))
	broken := false
	for i := range items {
		id := fmt.Sprintf("step-0-i%d", i)
		if listed[id] {
			continue
		}
		left, finished := f.lastSeen(id, now)
		f.lab.Note("item %s is not listed; finished by a server: %v; at no server, and all engines up, since %s", id, finished, f.lab.At(left))
		if !finished && now.Sub(left) > idleBound && len(begun) > 1 && 2*inFlight < places {
			broken = true
		}
	}
	return broken
}

// lastSeen returns until when an item was at a server at the latest, and whether one finished it.
func (f *fleet) lastSeen(id string, now time.Time) (time.Time, bool) {
	var last time.Time
	finished := false
	for _, e := range f.all {
		for _, a := range e.Arrivals() {
			if a.ID != id {
				continue
			}
			// No run lasts longer than the rest of the text; a crashed server ends it sooner.
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
	if last.Before(f.back) {
		last = f.back // the bound counts from the end of the disruption
	}
	return last, finished
}
