package cold

import (
	"slices"
	"time"
)

const (
	// senderExpiry is how long after its last record, or after it last had work, a process still
	// counts as one that may send. It is longer than Lease, the time that a process may lag behind
	// the log, and IdleAfter together.
	senderExpiry = 20 * time.Second
	// Lease is how long a process may send after it has last told the others of itself, or has
	// last known all that was told: it ends before others stop counting it.
	Lease = 10 * time.Second
	// IdleAfter is how long a process without work keeps its place among those that may send.
	IdleAfter = 6 * time.Second
	// newcomerTime is how long after it has entered a process may be unknown to others that are up to
	// date, which lag by at most freshAge, and to what they have sent within a second.
	newcomerTime = 3 * time.Second
	freshAge     = time.Second
	// maxNewcomers is how many processes may enter within newcomerTime and send at once; the others
	// wait until they are no newcomers any more.
	maxNewcomers = 4
	// togetherTime is within which processes enter together: until the first of them is no newcomer any
	// more, it knows all of them if it is up to date.
	togetherTime = newcomerTime - 2*freshAge
	// ownedInterval is how often the work of a process is looked at.
	ownedInterval = time.Second
)

// Senders is which processes may send, by a log that all of them read in the same order. A process
// enters with the record that gives it work. Its rank is one more than the number of processes that
// entered before it and still count, as it has read the log. Of processes that send at the same
// time, the one that entered last counts all others, the one before it all but that, and so on:
// their ranks differ even if some of them have not read the log for long, and the sum of their
// shares is at most the total.
//
// A process that is up to date knows all others but the newcomers, so that it may also have its part
// of the shares of those ranks that neither the known processes nor the newcomers can have.
type Senders struct {
	byProcess map[string]*sender
	// ended are those that send nothing any more, while what they have sent last still counts.
	ended []endedSender
}

type endedSender struct {
	process string
	since   uint64
	until   time.Time
}

type sender struct {
	since                       uint64 // position of the record with which it entered
	incarnation                 string
	enteredAt, heardAt, ownedAt time.Time
	enteredAfter                time.Time // it entered later than this
	gaveAt                      uint64    // position of the last record that gave it work
}

// NewSenders returns a list without processes.
func NewSenders() *Senders { return &Senders{byProcess: map[string]*sender{}} }

// Enter records that the record at a position, which was appended after the given time, gave an
// incarnation of a process work.
func (s *Senders) Enter(process, incarnation string, position uint64, after, now time.Time) {
	if e := s.byProcess[process]; e != nil {
		e.heardAt, e.ownedAt, e.incarnation, e.gaveAt = now, now, incarnation, position
		return
	}
	s.byProcess[process] = &sender{since: position, gaveAt: position, incarnation: incarnation, enteredAt: now, heardAt: now, ownedAt: now, enteredAfter: after}
}

// Heard records that the record at a position, which was appended after the given time, is of an
// incarnation of a process. hasWork reports whether the process has work; one that was not known to
// have some enters. If a later incarnation is heard that never had any, what the earlier one has sent
// soon doesn't count any more.
func (s *Senders) Heard(process, incarnation string, position uint64, after, now time.Time, hasWork func() bool) {
	e := s.byProcess[process]
	switch {
	case e == nil:
		if hasWork() {
			s.Enter(process, incarnation, position, after, now)
		}
		return
	case e.incarnation != incarnation && !hasWork():
		s.end(process, now)
		return
	}
	e.heardAt, e.incarnation = now, incarnation // one that has had work may not know that it has none now
	if now.Sub(e.ownedAt) >= ownedInterval && hasWork() {
		e.ownedAt = now
	}
}

// Idle records that an incarnation of a process sends nothing by records before a position. If none has
// given it work since, what it has sent soon doesn't count any more.
func (s *Senders) Idle(process, incarnation string, before uint64, now time.Time) {
	if e := s.byProcess[process]; e != nil && e.incarnation == incarnation && e.gaveAt < before {
		s.end(process, now)
	}
}

// end lets a process count for as long as what it has sent last, also if it enters again meanwhile.
func (s *Senders) end(process string, now time.Time) {
	s.ended = append(s.ended, endedSender{process: process, since: s.byProcess[process].since, until: now.Add(Second)})
	delete(s.byProcess, process)
}

// Leave removes a process, which enters again with the next record that gives it work.
func (s *Senders) Leave(process string) { delete(s.byProcess, process) }

// Place is a process's place among those that may send.
type Place struct {
	Rank      int  // 0: it may not send
	Known     int  // processes that count, itself included
	Newcomers int  // of these, that entered before it and within newcomerTime
	IsFirst   bool // all others that entered before it entered together with it
	Settled   bool // it is no newcomer
	Fresh     bool // it is up to date
}

// Share returns the process's share of a total.
func (p Place) Share(total int) int {
	if p.Rank == 0 || !p.Settled && !p.IsFirst && p.Newcomers >= maxNewcomers {
		return 0 // a process that has been there for longer may not know it, and use its share
	}
	shares := Shares(total)
	share := 0
	if p.Rank <= len(shares) {
		share = shares[p.Rank-1]
	}
	if !p.Settled || !p.Fresh {
		return share
	}
	unused := 0
	for k := p.Known + maxNewcomers; k < len(shares); k++ {
		unused += shares[k]
	}
	return share + unused/p.Known
}

// Place returns the place of a process, which counts as entered at the position from at the
// earliest; its rank is 0 if it has not entered. All records told before asOf are known.
func (s *Senders) Place(process string, from uint64, asOf, now time.Time) Place {
	own := s.byProcess[process]
	if own == nil {
		return Place{}
	}
	since := max(own.since, from)
	p := Place{Rank: 1, Known: 1, IsFirst: true, Settled: now.Sub(own.enteredAt) >= newcomerTime, Fresh: now.Sub(asOf) <= freshAge}
	for name, e := range s.byProcess {
		if e == own {
			continue
		}
		if asOf.Sub(e.heardAt) >= senderExpiry || asOf.Sub(e.ownedAt) >= senderExpiry {
			delete(s.byProcess, name)
			continue
		}
		p.Known++
		if e.since > since {
			continue
		}
		p.Rank++
		p.IsFirst = p.IsFirst && own.enteredAt.Sub(e.enteredAfter) <= togetherTime
		if now.Sub(e.enteredAt) < newcomerTime {
			p.Newcomers++
		}
	}
	s.ended = slices.DeleteFunc(s.ended, func(e endedSender) bool { return !asOf.Before(e.until) })
	for _, e := range s.ended {
		if e.process == process {
			continue
		}
		p.Known++
		if e.since <= since {
			p.Rank++
			p.IsFirst = false
		}
	}
	return p
}

// Standing is whether a process that sends by Senders may do so: whether the others count it. Times
// are those since the VM was started, which go on while it is suspended.
type Standing struct {
	checkedAt, workAt time.Duration
	toldAt            time.Duration // when its last record was sent that the log has stored
	toldPosition      uint64        // of that record
	from              uint64        // position from which it counts as entered
	fromAt            time.Duration // since when
	unsteadyAt        time.Duration // when it last stood still for a moment
	lapsed            bool          // others may have stopped counting it
	lapsedAt          time.Duration
	isTold            bool
}

// Told records that the log has stored a record of this process that was sent at the given time.
func (st *Standing) Told(sentAt time.Duration, position uint64) {
	if !st.isTold || sentAt-st.toldAt > Lease {
		st.lapse(sentAt - 1) // also at the start: others may have stopped counting an earlier incarnation
	}
	st.toldAt, st.toldPosition, st.isTold = sentAt, position, true
}

func (st *Standing) lapse(at time.Duration) { st.lapsed, st.lapsedAt = true, at }

// Check is called at least once in half of a Lease. It returns the position from which this process
// counts as entered, and false if it may not send now. readAge is the age of what it knows of the
// log, whose records before next it has read. leave is called when it gives up its place.
func (st *Standing) Check(now, readAge time.Duration, next uint64, hasWork bool, leave func()) (uint64, bool) {
	gap := now - st.checkedAt
	if st.checkedAt > 0 && gap > Lease/2 || readAge > Lease || st.isTold && now-st.toldAt > Lease {
		st.lapse(now)
	}
	if st.checkedAt > 0 && gap > MaxCheckGap {
		st.unsteadyAt = now
	}
	st.checkedAt = now
	if hasWork {
		st.workAt = now
	} else if now-st.workAt > IdleAfter {
		leave()
	}
	if st.lapsed && st.isTold && st.toldAt > st.lapsedAt {
		st.lapsed, st.from, st.fromAt = false, st.toldPosition, now
	}
	return st.from, st.isTold && !st.lapsed && st.from < next
}

// MaxCheckGap is the time between two checks above which a process may be less up to date than it
// seems: its clock may have stood still.
const MaxCheckGap = time.Second

// Amend returns the place of a process that has just been checked, less what it may not count on.
func (st *Standing) Amend(p Place) Place {
	p.Settled = p.Settled && (st.fromAt == 0 || st.checkedAt-st.fromAt >= newcomerTime)
	p.Fresh = p.Fresh && (st.unsteadyAt == 0 || st.checkedAt-st.unsteadyAt >= 2*freshAge)
	return p
}

// IsCurrent reports whether the last check is new enough to send by it.
func (st *Standing) IsCurrent(now time.Duration) bool { return now-st.checkedAt <= MaxCheckGap }
