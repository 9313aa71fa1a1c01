package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	tick            = 100 * time.Millisecond
	minTurnInterval = time.Second
)

var (
	validTiming       = Timing{ValidFor: 8 * tick, TakeOverAfter: 12 * tick}
	overlappingTiming = Timing{ValidFor: 20 * tick, TakeOverAfter: 12 * tick} // others take over while a holder may act
)

func TestUnrenewedLeaseIsTakenOver(t *testing.T) {
	a, b := New(Holder{"a", "1"}, validTiming), New(Holder{"b", "1"}, validTiming)
	require.False(t, a.MayClaim(0, 0), "no read has succeeded yet")
	a.Observe(nil, 0)
	b.Observe(nil, 0)
	require.False(t, a.MayClaim(tick, 2*tick), "others go first")
	require.True(t, a.MayClaim(2*tick, 2*tick))
	claim := a.Claim(7, 2*tick)
	require.EqualValues(t, 8, claim.Token)
	require.False(t, a.MayAct(2*tick, 0), "the claim is not stored yet")
	a.Observe(&claim, 3*tick)
	b.Observe(&claim, 3*tick)
	require.True(t, a.MayAct(3*tick, tick))
	require.True(t, a.MayAct(2*tick+validTiming.ValidFor, 0), "validity starts when the claim is sent")
	require.False(t, a.MayAct(2*tick+validTiming.ValidFor, tick))
	require.False(t, b.MayClaim(2*tick+validTiming.TakeOverAfter, 0))
	require.True(t, b.MayClaim(3*tick+validTiming.TakeOverAfter, 0))
	b.ReadsResumed(20 * tick)
	require.False(t, b.MayClaim(20*tick+tick, 0), "the holder may have been unable to renew either")
	renewed := a.Renew(5, 21*tick)
	a.Observe(&renewed, 21*tick)
	require.True(t, a.MayAct(22*tick, 0))
	b.Observe(&renewed, 22*tick)
	takenOver := b.Claim(11, 40*tick)
	require.Equal(t, "a", takenOver.PreviousVM)
	require.EqualValues(t, 5, takenOver.Progress)
	require.Greater(t, takenOver.Token, renewed.Token)
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	a, b, c := New(Holder{"a", "1"}, validTiming), New(Holder{"b", "1"}, validTiming), New(Holder{"a", "2"}, validTiming)
	a.Observe(nil, 0)
	claim := a.Claim(0, 0)
	a.Observe(&claim, 0)
	released := a.Release(3, tick)
	require.False(t, a.MayAct(tick, 0), "whether or not the write succeeds")
	for _, s := range []*State{a, b, c} {
		s.Observe(&released, 2*tick)
	}
	require.True(t, b.MayClaim(2*tick, 0))
	require.False(t, a.MayClaim(2*tick+validTiming.TakeOverAfter, 0), "the VM that released the lease waits for others to claim it")
	require.False(t, c.MayClaim(2*tick, 0))
	second := b.Claim(5, 3*tick)
	b.Observe(&second, 3*tick)
	released = b.Release(3, 4*tick)
	a.Observe(&released, 4*tick)
	require.False(t, a.MayClaim(4*tick+tick, 0), "processes that alternate too fast look like two holders at once")
	require.True(t, a.MayClaim(4*tick+validTiming.TakeOverAfter, 0))
}

// simulation simulates a store that accepts a write only at the end of the stream, a platform
// that records calls, and processes whose reads, writes and suspensions are drawn by rapid.
type simulation struct {
	timing     Timing
	now        time.Duration
	records    []Record
	lateWrites []write
	calls      []call
	processes  []*process
}

type process struct {
	vm             string
	incarnation    int
	state          *State
	nextOffset     int // end of the stream as of the last read
	suspendedUntil time.Duration
}

type write struct {
	record Record
	offset int
	dueAt  time.Duration
}

type call struct {
	vm    string
	token uint64
	at    time.Duration
}

func newSimulation(processes int, timing Timing) *simulation {
	sim := &simulation{timing: timing}
	for i := range processes {
		p := &process{vm: fmt.Sprint("n", i)}
		sim.processes = append(sim.processes, p)
		sim.restart(p)
	}
	return sim
}

func (sim *simulation) restart(p *process) {
	p.incarnation++
	p.state, p.nextOffset = New(Holder{p.vm, fmt.Sprint(p.incarnation)}, sim.timing), 0
}

func (sim *simulation) appendAt(r Record, offset int) bool {
	if offset != len(sim.records) {
		return false
	}
	sim.records = append(sim.records, r)
	return true
}

func (sim *simulation) read(p *process) {
	p.nextOffset = len(sim.records)
	if p.nextOffset == 0 {
		p.state.Observe(nil, sim.now)
		return
	}
	newest := sim.records[p.nextOffset-1]
	p.state.Observe(&newest, sim.now)
}

// write makes the write that is due. It is stored, stored without an answer, stored late, or
// lost.
func (sim *simulation) write(t *rapid.T, p *process) {
	var r Record
	switch {
	case p.state.Holds() && rapid.IntRange(0, 9).Draw(t, "release") == 0:
		r = p.state.Release(0, sim.now)
	case p.state.Holds():
		r = p.state.Renew(0, sim.now)
	case p.state.MayClaim(sim.now, 0):
		r = p.state.Claim(uint64(p.nextOffset), sim.now)
	default:
		return
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "unanswered", "late", "lost"}).Draw(t, "outcome") {
	case "answered":
		if sim.appendAt(r, p.nextOffset) {
			p.nextOffset++
			p.state.Observe(&r, sim.now)
		}
	case "unanswered":
		sim.appendAt(r, p.nextOffset)
	case "late":
		sim.lateWrites = append(sim.lateWrites, write{r, p.nextOffset, sim.now + time.Duration(rapid.IntRange(1, 30).Draw(t, "late"))*tick})
	}
}

// makeCall makes a call that arrives within the duration that the process passed to MayAct.
func (sim *simulation) makeCall(t *rapid.T, p *process) {
	const need = 2 * tick
	if !p.state.MayAct(sim.now, need) {
		return
	}
	r, _ := p.state.Record()
	sim.calls = append(sim.calls, call{p.vm, r.Token, sim.now + time.Duration(rapid.IntRange(0, 2).Draw(t, "way"))*tick})
}

func (sim *simulation) step(t *rapid.T) {
	sim.now += tick
	for _, late := range sim.lateWrites {
		if late.dueAt == sim.now {
			sim.appendAt(late.record, late.offset)
		}
	}
	for _, p := range sim.processes {
		if sim.now < p.suspendedUntil {
			continue
		}
		switch rapid.IntRange(0, 11).Draw(t, "action") {
		case 0:
			p.suspendedUntil = sim.now + time.Duration(rapid.IntRange(1, 40).Draw(t, "suspended"))*tick
		case 1:
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				sim.restart(p)
			}
		case 2, 3, 4, 5:
			sim.read(p)
		case 6, 7, 8:
			sim.write(t, p)
		default:
			sim.makeCall(t, p)
		}
	}
}

// findViolation describes the first calls that the platform would take for those of two
// holders at once; empty: there are none.
func (sim *simulation) findViolation() string {
	owner := map[uint64]string{}
	for i, c := range sim.calls {
		if other, known := owner[c.token]; known && other != c.vm {
			return fmt.Sprintf("token %d of %s and %s", c.token, other, c.vm)
		}
		owner[c.token] = c.vm
		for j, before := range sim.calls[:i] {
			if before.token > c.token && before.at < c.at {
				return fmt.Sprintf("token %d is used after token %d", c.token, before.token)
			}
			if before.vm == c.vm && c.at-before.at < minTurnInterval && sim.hasOtherCallsBetween(j, i) {
				return fmt.Sprintf("%s acts again within %v, after another process acted", c.vm, c.at-before.at)
			}
		}
	}
	return ""
}

func (sim *simulation) hasOtherCallsBetween(first, last int) bool {
	for _, c := range sim.calls[first+1 : last] {
		if c.vm != sim.calls[first].vm && c.at > sim.calls[first].at && c.at < sim.calls[last].at {
			return true
		}
	}
	return false
}

func simulate(t *rapid.T, timing Timing) *simulation {
	sim := newSimulation(3, timing)
	for range rapid.IntRange(20, 200).Draw(t, "steps") {
		sim.step(t)
	}
	return sim
}

// Guards against two holders that act at the same time, whichever processes are suspended or
// restarted and whichever writes are lost or stored late.
func TestNoTwoHoldersActAtOnce(t *testing.T) {
	callsMade := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := simulate(t, validTiming)
		require.Empty(t, sim.findViolation())
		callsMade += len(sim.calls)
	})
	require.Positive(t, callsMade)
}

// The simulation must detect a lease whose holder may act for longer than other processes
// wait; otherwise TestNoTwoHoldersActAtOnce would prove nothing.
func TestSimulationDetectsOverlappingHolders(t *testing.T) {
	violations := rapid.Custom(func(t *rapid.T) string { return simulate(t, overlappingTiming).findViolation() })
	for seed := range 2000 {
		if violations.Example(seed) != "" {
			return
		}
	}
	t.Fatal("no violation was found")
}

// Guards against a duty that no process has: once all processes run and the store answers,
// exactly one must hold the lease.
func TestLostLeaseIsClaimedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := simulate(t, validTiming)
		sim.lateWrites = nil
		for range 6 * int(validTiming.TakeOverAfter/tick) {
			sim.now += tick
			for _, p := range sim.processes {
				p.suspendedUntil = 0
				sim.read(p)
				if p.state.Holds() {
					r := p.state.Renew(0, sim.now)
					require.True(t, sim.appendAt(r, p.nextOffset))
					p.state.Observe(&r, sim.now)
				} else if p.state.MayClaim(sim.now, 0) {
					r := p.state.Claim(uint64(p.nextOffset), sim.now)
					require.True(t, sim.appendAt(r, p.nextOffset))
					p.state.Observe(&r, sim.now)
				}
			}
		}
		holders := 0
		for _, p := range sim.processes {
			sim.read(p)
			if p.state.MayAct(sim.now, 0) {
				holders++
			}
		}
		require.Equal(t, 1, holders)
	})
}
