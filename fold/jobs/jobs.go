// Package jobs computes the state of all batch jobs from the records of their
// log stream. The fold is pure: every process that applies the same records in
// the same order has the same jobs, the same results at the same positions and
// the same owner of each job.
//
// Correctness depends on the fold alone. Of two results of an item the first in
// the log is kept, and of two claims with the same prior offset the first wins.
// Records that arrive late or twice, or whose writer has lost the job, change
// nothing. Ownership only avoids duplicate work.
package jobs

import (
	"slices"
	"strings"
)

// ItemState is an item of a job and its progress.
type ItemState struct {
	ItemRef
	Server   string // that runs the item according to the owner's last report; empty: none
	Position int    // index in Job.Results; -1: no result yet
}

// Done reports whether the item has a result.
func (i *ItemState) Done() bool { return i.Position >= 0 }

// Job is an accepted batch job.
type Job struct {
	Spec
	Items   map[string]*ItemState
	Order   []string // item ids in the order of submission
	Results []Result
	Ended   bool

	groups map[string]*group
	// completeGroups is the number of groups in which every item has a result.
	completeGroups int
	// incompleteResubmitted is the number of resubmitted groups in which some
	// item has no result yet.
	incompleteResubmitted int

	Owner Writer
	// AcceptedOffset is the offset of the record that completed the submission.
	AcceptedOffset uint64
	// Claim is the offset of the record that made Owner the job's owner.
	Claim    uint64
	Released bool // the owner has released the job
	// ItemsRef is the position of the items in the text stream. All other text
	// records of the job follow it.
	ItemsRef TextRef
}

// group counts the items of a job that have the same prompt.
type group struct {
	unfinished  int  // items without a result
	resubmitted bool // an earlier job that is still known has the group too
}

// Enough reports whether the job has all results that the trainer waits for:
// the requested number of complete groups, including every resubmitted group,
// or the results of all items.
func (j *Job) Enough() bool {
	return len(j.Results) == j.Total || j.Groups > 0 && j.completeGroups >= j.Groups && j.incompleteResubmitted == 0
}

// Need returns the number of complete groups that the trainer still waits for.
// If the trainer requested no number of groups it waits for all items, and Need
// returns the number of items without a result.
func (j *Job) Need() int {
	if j.Groups == 0 {
		return j.Total - len(j.Results)
	}
	return max(0, j.Groups-j.completeGroups)
}

// IsResubmitted reports whether the trainer submitted the group with an earlier
// job too. The trainer then waits for this group regardless of how many others
// are complete.
func (j *Job) IsResubmitted(name string) bool {
	g := j.groups[name]
	return g != nil && g.resubmitted
}

// HasNoOwner reports whether no process was given the job yet.
func (j *Job) HasNoOwner() bool { return j.Owner.VM == "" }

// IsOpen reports whether the job has not ended and has items without a result.
func (j *Job) IsOpen() bool { return !j.Ended && len(j.Results) < j.Total }

// submission collects the parts of a job until all of them have been read.
type submission struct {
	parts map[int]*Acceptance
}

// Change lists what a record changed.
type Change struct {
	Accepted []string // ids of jobs
	Ended    []string // ids of jobs
	// Owned lists the ids of the jobs whose owner changed or released them.
	Owned   []string
	Results int // number of new results
	Engines int // number of engine reports
}

// EngineKey identifies a model on a backend server.
type EngineKey struct{ Server, Model string }

// State is the state after the records applied so far. It is not safe for
// concurrent use.
type State struct {
	Jobs map[string]*Job

	pending map[string]*submission // incomplete, by job id and submission name
	// runningItems counts the items that the owners report as running, by server.
	runningItems map[string]int
	jobOrder     []string // job ids in the order of acceptance
	engines      map[EngineKey]Engine
	leaving      map[Writer]bool // processes that take no more jobs
	// capacity is the number of items that each process reports it can run.
	capacity map[Writer]int
	// groups contains the groups of all jobs in Jobs.
	groups map[groupKey]bool
}

// New returns the state before the first record.
func New() *State {
	return &State{Jobs: map[string]*Job{}, pending: map[string]*submission{}, runningItems: map[string]int{}, engines: map[EngineKey]Engine{}, leaving: map[Writer]bool{}, capacity: map[Writer]int{}, groups: map[groupKey]bool{}}
}

// Running returns the number of items that run on a server according to their
// owners' reports.
func (s *State) Running(server string) int { return s.runningItems[server] }

// Engine returns the latest report about a model on a server.
func (s *State) Engine(server, model string) (Engine, bool) {
	e, ok := s.engines[EngineKey{server, model}]
	return e, ok
}

// Apply applies the record at an offset and returns what it changed.
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
		result.Writer = r.VM
		s.addResult(result, &c)
	}
	for _, e := range r.Engines {
		s.engines[EngineKey{e.Server, e.Model}] = e
		c.Engines++
	}
	for _, id := range r.Releases {
		s.releaseJob(id, r.Writer, &c)
	}
	for _, id := range r.Ends {
		s.endJob(id, &c)
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
	s.addJob(offset, owner, sub, a)
	c.Accepted = append(c.Accepted, a.ID)
}

// addJob adds the job of a complete submission and drops all pending
// submissions of the same job.
func (s *State) addJob(offset uint64, owner Writer, sub *submission, last *Acceptance) {
	j := &Job{Spec: last.Spec, Items: map[string]*ItemState{}, Owner: owner, AcceptedOffset: offset, Claim: offset, ItemsRef: last.ItemsRef, groups: map[string]*group{}}
	for part := range last.Parts {
		for _, item := range sub.parts[part].Items {
			if j.Items[item.ID] != nil {
				continue
			}
			j.Items[item.ID] = &ItemState{ItemRef: item, Position: -1}
			j.Order = append(j.Order, item.ID)
			s.joinGroup(j, item.Group)
		}
	}
	j.Total = len(j.Order)
	s.Jobs[j.ID] = j
	s.jobOrder = append(s.jobOrder, j.ID)
	for key := range s.pending {
		if strings.HasPrefix(key, j.ID+"/") {
			delete(s.pending, key)
		}
	}
}

// groupKey identifies a group of items. Trainers choose group names
// independently, so the model is part of the key.
type groupKey struct{ model, group string }

// joinGroup adds an item to its group of the job, and creates the group with
// its first item.
func (s *State) joinGroup(j *Job, name string) {
	g := j.groups[name]
	if g == nil {
		key := groupKey{j.Model, name}
		g = &group{resubmitted: s.groups[key]}
		j.groups[name], s.groups[key] = g, true
		if g.resubmitted {
			j.incompleteResubmitted++
		}
	}
	g.unfinished++
}

// completeItem records that one more item of a group has a result.
func (j *Job) completeItem(g *group) {
	g.unfinished--
	if g.unfinished > 0 {
		return
	}
	j.completeGroups++
	if g.resubmitted {
		j.incompleteResubmitted--
	}
}

// Owned returns the job if the writer owns it and has not released it, and nil
// otherwise.
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
	s.clearServers(j)
	c.Owned = append(c.Owned, j.ID)
}

func (s *State) releaseJob(id string, w Writer, c *Change) {
	j := s.Owned(id, w)
	if j == nil {
		return
	}
	j.Released = true
	s.clearServers(j)
	c.Owned = append(c.Owned, id)
}

// clearServers clears the servers of a job's items: they are valid only while
// their owner runs the job.
func (s *State) clearServers(j *Job) {
	for _, item := range j.Items {
		s.setServer(item, "")
	}
}

func (s *State) setServer(item *ItemState, server string) {
	if item.Server != "" {
		s.runningItems[item.Server]--
		if s.runningItems[item.Server] <= 0 {
			delete(s.runningItems, item.Server)
		}
	}
	item.Server = server
	if server != "" {
		s.runningItems[server]++
	}
}

func (s *State) start(w Writer, start Start) {
	j := s.Owned(start.Job, w)
	if j == nil || !j.IsOpen() {
		return
	}
	if item := j.Items[start.Item]; item != nil && !item.Done() {
		s.setServer(item, start.Server)
	}
}

// addResult appends a result to its job's list. Later results of the same item
// are ignored.
func (s *State) addResult(r Result, c *Change) {
	j := s.Jobs[r.Job]
	if j == nil {
		return
	}
	item := j.Items[r.Item]
	if item == nil || item.Done() {
		return
	}
	item.Position = len(j.Results)
	s.setServer(item, "")
	j.Results = append(j.Results, r)
	c.Results++
	j.completeItem(j.groups[item.Group])
	if len(j.Results) == j.Total {
		c.Ended = append(c.Ended, j.ID)
	}
}

func (s *State) endJob(id string, c *Change) {
	j := s.Jobs[id]
	if j == nil || j.Ended {
		return
	}
	j.Ended = true
	s.clearServers(j)
	c.Ended = append(c.Ended, id)
}

// EligibleOwners returns the processes that can be assigned jobs. Owners of jobs
// come first, starting with the owner of the newest job; processes that have only
// reported their capacity follow in no particular order. Processes that reported
// that they are leaving are excluded.
func (s *State) EligibleOwners() []OwnerLoad {
	var owners []OwnerLoad
	indexOf := map[Writer]int{}
	for _, id := range slices.Backward(s.jobOrder) {
		j := s.Jobs[id]
		if j.Released || s.leaving[j.Owner] || j.HasNoOwner() {
			continue
		}
		i, known := indexOf[j.Owner]
		if !known {
			i = len(owners)
			indexOf[j.Owner] = i
			owners = append(owners, OwnerLoad{Owner: j.Owner, Capacity: s.capacity[j.Owner]})
		}
		if j.IsOpen() {
			owners[i].Items += j.Total - len(j.Results)
		}
	}
	for w, capacity := range s.capacity {
		if _, known := indexOf[w]; !known && !s.leaving[w] {
			owners = append(owners, OwnerLoad{Owner: w, Capacity: capacity})
		}
	}
	return owners
}

// OwnerLoad is a process and its load.
type OwnerLoad struct {
	Owner    Writer
	Items    int // of its open jobs, without a result
	Capacity int // items that it can run; 0: not reported
}

// Each calls f for every job in the order of acceptance.
func (s *State) Each(f func(*Job)) {
	for _, id := range s.jobOrder {
		f(s.Jobs[id])
	}
}

// CountOpen returns the number of open jobs.
func (s *State) CountOpen() int {
	open := 0
	s.Each(func(j *Job) {
		if j.IsOpen() {
			open++
		}
	})
	return open
}

// Forget drops all jobs that are no longer open and were submitted before the
// given time in Unix milliseconds.
func (s *State) Forget(beforeMS int64) {
	s.jobOrder = slices.DeleteFunc(s.jobOrder, func(id string) bool {
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
