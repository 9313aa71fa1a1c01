// Package jobs is the pure fold of the records of batch jobs. Every process
// folds the same records in the same order, so that all of them hold the same
// jobs, the same results at the same positions and the same owner of a job.
//
// Correctness rests on the fold alone: of two results of an item the first in
// the log stands, of two claims with the same prior owner the first wins, and
// records that come late, twice or from a process that lost its job change
// nothing. Owners only save work.
package jobs

import (
	"slices"
	"strings"
)

// ItemState is an item with what has become of it.
type ItemState struct {
	ItemRef
	Server   string // where the owner last said that it runs
	Position int    // in Job.Results; -1: no result yet
}

// Done tells whether the item has its result.
func (i *ItemState) Done() bool { return i.Position >= 0 }

// Job is an accepted batch job.
type Job struct {
	Spec
	Items   map[string]*ItemState
	Order   []string // item ids in the order of submission
	Results []Result
	Ended   bool

	groups map[string]*group
	// complete is the number of groups all of whose items have a result.
	complete int
	// awaited is the number of groups without all results that an earlier job
	// had as well.
	awaited int

	Owner Writer
	// AcceptedOffset is the offset of the record that made the job.
	AcceptedOffset uint64
	// Claim is the offset of the record that made Owner the owner.
	Claim    uint64
	Released bool // the owner has given the job up
	// ItemsRef is where the items stand, and their texts behind.
	ItemsRef TextRef
}

// group is the items of a job that share their prompt.
type group struct {
	left  int  // items without a result
	again bool // an earlier job had it as well
}

// Enough tells whether the trainer has all that it waits for: as many complete
// groups as it said, those that it handed in a second time among them.
func (j *Job) Enough() bool {
	return len(j.Results) == j.Total || j.Groups > 0 && j.complete >= j.Groups && j.awaited == 0
}

// Need is the number of groups that the trainer still waits for; where it named
// none, it waits for all items.
func (j *Job) Need() int {
	if j.Groups == 0 {
		return j.Total - len(j.Results)
	}
	return max(0, j.Groups-j.complete)
}

// IsResubmitted tells whether the trainer has handed a group in a second time. It then
// waits for this group whatever others are whole.
func (j *Job) IsResubmitted(name string) bool {
	g := j.groups[name]
	return g != nil && g.again
}

// IsOpen tells whether there is still work for an owner.
func (j *Job) IsOpen() bool { return !j.Ended && len(j.Results) < j.Total }

// submission gathers the parts of an accepted job.
type submission struct {
	parts map[int]*Acceptance
}

// Change tells what a record changed.
type Change struct {
	Accepted []string
	Ended    []string
	// Owned are jobs whose owner changed.
	Owned   []string
	Results int
	Engines int
}

// EngineKey names a model at a server.
type EngineKey struct{ Server, Model string }

// State is the fold. It is not safe for concurrent use.
type State struct {
	Jobs map[string]*Job

	pending map[string]*submission
	// running counts the items at each server by the owners' own word.
	running map[string]int
	order   []string // jobs in the order of acceptance
	engines map[EngineKey]Engine
	leaving map[Writer]bool
	// capacity is how many items each process can run, by its own word.
	capacity map[Writer]int
	// groups are those of the jobs that are known.
	groups map[groupKey]bool
}

// New returns the state before the first record.
func New() *State {
	return &State{Jobs: map[string]*Job{}, pending: map[string]*submission{}, running: map[string]int{}, engines: map[EngineKey]Engine{}, leaving: map[Writer]bool{}, capacity: map[Writer]int{}, groups: map[groupKey]bool{}}
}

// Running is the number of items that run at a server, by their owners' word.
func (s *State) Running(server string) int { return s.running[server] }

// Engine is the last word about a model at a server.
func (s *State) Engine(server, model string) (Engine, bool) {
	e, ok := s.engines[EngineKey{server, model}]
	return e, ok
}

// Apply folds the record at an offset.
func (s *State) Apply(offset uint64, r *Record) Change {
	var c Change
	if r.Leaving {
		s.leaving[r.Writer] = true
	}
	if r.Capacity > 0 {
		s.capacity[r.Writer] = r.Capacity
	}
	if r.Acceptance != nil {
		s.accept(offset, r, &c)
	}
	for _, claim := range r.Claims {
		s.claim(offset, r.Writer, claim, &c)
	}
	for _, start := range r.Starts {
		s.start(r.Writer, start)
	}
	for _, result := range r.Results {
		result.Writer = r.Node
		s.result(result, &c)
	}
	for _, e := range r.Engines {
		s.engines[EngineKey{e.Server, e.Model}] = e
		c.Engines++
	}
	for _, id := range r.Releases {
		s.release(id, r.Writer, &c)
	}
	for _, id := range r.Ends {
		s.end(id, &c)
	}
	return c
}

func (s *State) accept(offset uint64, r *Record, c *Change) {
	a := r.Acceptance
	if s.Jobs[a.ID] != nil || a.Parts < 1 || a.Part < 0 || a.Part >= a.Parts {
		return
	}
	key := a.ID + "/" + a.Submission
	sub := s.pending[key]
	if sub == nil {
		sub = &submission{parts: map[int]*Acceptance{}}
		s.pending[key] = sub
	}
	sub.parts[a.Part] = a
	if len(sub.parts) < a.Parts {
		return
	}
	owner := r.Writer
	if a.Owner != nil {
		owner = *a.Owner
	}
	s.add(offset, owner, sub, a)
	c.Accepted = append(c.Accepted, a.ID)
}

// add makes the job of a whole submission and forgets what others handed in of it.
func (s *State) add(offset uint64, owner Writer, sub *submission, last *Acceptance) {
	j := &Job{Spec: last.Spec, Items: map[string]*ItemState{}, Owner: owner, AcceptedOffset: offset, Claim: offset, ItemsRef: last.ItemsRef, groups: map[string]*group{}}
	for part := range last.Parts {
		for _, item := range sub.parts[part].Items {
			if j.Items[item.ID] != nil {
				continue
			}
			j.Items[item.ID] = &ItemState{ItemRef: item, Position: -1}
			j.Order = append(j.Order, item.ID)
			s.join(j, item.Group)
		}
	}
	j.Total = len(j.Order)
	s.Jobs[j.ID] = j
	s.order = append(s.order, j.ID)
	for key := range s.pending {
		if strings.HasPrefix(key, j.ID+"/") {
			delete(s.pending, key)
		}
	}
}

// groupKey names a group of items: trainers draw the names of their own.
type groupKey struct{ model, group string }

// join adds an item to its group.
func (s *State) join(j *Job, name string) {
	g := j.groups[name]
	if g == nil {
		key := groupKey{j.Model, name}
		g = &group{again: s.groups[key]}
		j.groups[name], s.groups[key] = g, true
		if g.again {
			j.awaited++
		}
	}
	g.left++
}

// listed notes that one more item of a group has its result.
func (j *Job) listed(g *group) {
	g.left--
	if g.left > 0 {
		return
	}
	j.complete++
	if g.again {
		j.awaited--
	}
}

// Owned returns the job if the writer owns it and has not given it up.
func (s *State) Owned(id string, w Writer) *Job {
	j := s.Jobs[id]
	if j == nil || j.Owner != w || j.Released {
		return nil
	}
	return j
}

func (s *State) claim(offset uint64, w Writer, claim Claim, c *Change) {
	j := s.Jobs[claim.Job]
	if j == nil || j.Claim != claim.PriorOffset || !j.IsOpen() {
		return
	}
	j.Owner, j.Claim, j.Released = w, offset, false
	s.leaveServers(j)
	c.Owned = append(c.Owned, j.ID)
}

func (s *State) release(id string, w Writer, c *Change) {
	j := s.Owned(id, w)
	if j == nil {
		return
	}
	j.Released = true
	s.leaveServers(j)
	c.Owned = append(c.Owned, id)
}

// leaveServers forgets where a job's items ran, for its owner is gone.
func (s *State) leaveServers(j *Job) {
	for _, item := range j.Items {
		s.move(item, "")
	}
}

func (s *State) move(item *ItemState, server string) {
	if item.Server != "" {
		s.running[item.Server]--
		if s.running[item.Server] <= 0 {
			delete(s.running, item.Server)
		}
	}
	item.Server = server
	if server != "" {
		s.running[server]++
	}
}

func (s *State) start(w Writer, start Start) {
	j := s.Owned(start.Job, w)
	if j == nil || !j.IsOpen() {
		return
	}
	if item := j.Items[start.Item]; item != nil && !item.Done() {
		s.move(item, start.Server)
	}
}

// result lists an item; only the first result of an item counts.
func (s *State) result(r Result, c *Change) {
	j := s.Jobs[r.Job]
	if j == nil {
		return
	}
	item := j.Items[r.Item]
	if item == nil || item.Done() {
		return
	}
	item.Position = len(j.Results)
	s.move(item, "")
	j.Results = append(j.Results, r)
	c.Results++
	j.listed(j.groups[item.Group])
	if len(j.Results) == j.Total {
		c.Ended = append(c.Ended, j.ID)
	}
}

func (s *State) end(id string, c *Change) {
	j := s.Jobs[id]
	if j == nil || j.Ended {
		return
	}
	j.Ended = true
	s.leaveServers(j)
	c.Ended = append(c.Ended, id)
}

// EligibleOwners returns the processes that may be given jobs: owners first, that of the
// newest job at the front, then the others in no order. Those that have said
// that they leave are left out.
func (s *State) EligibleOwners() []OwnerLoad {
	var owners []OwnerLoad
	at := map[Writer]int{}
	for _, id := range slices.Backward(s.order) {
		j := s.Jobs[id]
		if j.Released || s.leaving[j.Owner] {
			continue
		}
		i, known := at[j.Owner]
		if !known {
			i = len(owners)
			at[j.Owner] = i
			owners = append(owners, OwnerLoad{Owner: j.Owner, Capacity: s.capacity[j.Owner]})
		}
		if j.IsOpen() {
			owners[i].Items += j.Total - len(j.Results)
		}
	}
	for w, capacity := range s.capacity {
		if _, known := at[w]; !known && !s.leaving[w] {
			owners = append(owners, OwnerLoad{Owner: w, Capacity: capacity})
		}
	}
	return owners
}

// OwnerLoad is a process with its work.
type OwnerLoad struct {
	Owner    Writer
	Items    int // without a result
	Capacity int // items that it can run; 0: not told
}

// Each calls f for each job in the order of acceptance.
func (s *State) Each(f func(*Job)) {
	for _, id := range s.order {
		f(s.Jobs[id])
	}
}

// CountOpen is the number of jobs with work for an owner.
func (s *State) CountOpen() int {
	open := 0
	s.Each(func(j *Job) {
		if j.IsOpen() {
			open++
		}
	})
	return open
}

// Forget drops jobs that were submitted before a time of day, in Unix
// milliseconds, and are no longer open.
func (s *State) Forget(beforeMS int64) {
	s.order = slices.DeleteFunc(s.order, func(id string) bool {
		j := s.Jobs[id]
		if j.IsOpen() || j.SubmittedMS >= beforeMS {
			return false
		}
		delete(s.Jobs, id)
		for name := range j.groups {
			delete(s.groups, groupKey{j.Model, name})
		}
		return true
	})
}
