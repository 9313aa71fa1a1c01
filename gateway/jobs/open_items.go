package jobs

import (
	"time"

	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
)

// OpenItems counts the items of open jobs that one service has to run.
type OpenItems struct {
	// Waiting is the number of items that no engine runs, those that are being scored included.
	// Items of a job whose trainer waits for no further results hold nobody up and don't count.
	Waiting int
	Running map[string]int // items that run, by server
}

// OpenItems counts the items that a service has to run by a configuration; false: this process
// may not know all jobs.
func (x *Index) OpenItems(t *table.Table, service string) (OpenItems, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	if !x.upToDate(now) || x.missedRecords(now) {
		return OpenItems{}, false
	}
	counts := OpenItems{Running: map[string]int{}}
	x.state.Each(func(j *jobs.Job) {
		if !j.IsOpen() {
			return
		}
		if r := t.Match(j.Host, j.Path); r != nil {
			counts.add(j, r, service)
		}
	})
	return counts, true
}

// add counts the items of a job that its route sends to a service.
func (c *OpenItems) add(j *jobs.Job, r *table.Route, service string) {
	isWaitedFor := !j.Enough()
	for id, item := range j.Items {
		switch {
		case item.Done() || r.Pick(route.Hash(id)) != service:
		case item.Server != "":
			c.Running[item.Server]++
		case isWaitedFor:
			c.Waiting++
		}
	}
}
