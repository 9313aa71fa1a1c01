package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	tick    = 100 * time.Millisecond
	takeOut = time.Second
)

var (
	sound  = Timing{Valid: 8 * tick, TakeOver: 12 * tick}
	broken = Timing{Valid: 20 * tick, TakeOver: 12 * tick} // others take over while a holder may act
)

func TestOthersTakeOverWhatStandsStill(t *testing.T) {
	a, b := New(Holder{"a", "1"}, sound), New(Holder{"b", "1"}, sound)
	require.False(t, a.MayClaim(0, 0), "nothing was read")
	a.Observe(nil, 0)
	b.Observe(nil, 0)
	require.False(t, a.MayClaim(tick, 2*tick), "others go first")
	require.True(t, a.MayClaim(2*tick, 2*tick))
	claim := a.Claim(7, 2*tick)
	require.EqualValues(t, 8, claim.Token)
	require.False(t, a.MayAct(2*tick, 0), "the claim does not stand yet")
	a.Observe(&claim, 3*tick)
	b.Observe(&claim, 3*tick)
	require.True(t, a.MayAct(3*tick, tick))
	require.True(t, a.MayAct(2*tick+sound.Valid, 0), "counted from when the claim was sent")
	require.False(t, a.MayAct(2*tick+sound.Valid, tick))
	require.False(t, b.MayClaim(2*tick+sound.TakeOver, 0))
	require.True(t, b.MayClaim(3*tick+sound.TakeOver, 0))
	b.Gap(20 * tick)
	require.False(t, b.MayClaim(20*tick+tick, 0), "the holder could not renew either")
	renewed := a.Renew(5, 21*tick)
	a.Observe(&renewed, 21*tick)
	require.True(t, a.MayAct(22*tick, 0))
	b.Observe(&renewed, 22*tick)
	took := b.Claim(11, 40*tick)
	require.Equal(t, "a", took.Prior)
	require.EqualValues(t, 5, took.Done)
	require.Greater(t, took.Token, renewed.Token)
}

func TestAReleasedLeaseIsTakenAtOnce(t *testing.T) {
	a, b, c := New(Holder{"a", "1"}, sound), New(Holder{"b", "1"}, sound), New(Holder{"a", "2"}, sound)
	a.Observe(nil, 0)
	claim := a.Claim(0, 0)
	a.Observe(&claim, 0)
	released := a.Release(3, tick)
	require.False(t, a.MayAct(tick, 0), "whatever becomes of the write")
	for _, s := range []*State{a, b, c} {
		s.Observe(&released, 2*tick)
	}
	require.True(t, b.MayClaim(2*tick, 0))
	require.False(t, a.MayClaim(2*tick+sound.TakeOver, 0), "it could not do the duty")
	require.False(t, c.MayClaim(2*tick, 0))
	second := b.Claim(5, 3*tick)
	b.Observe(&second, 3*tick)
	released = b.Release(3, 4*tick)
	a.Observe(&released, 4*tick)
	require.False(t, a.MayClaim(4*tick+tick, 0), "two that take turns at once look like two holders")
	require.True(t, a.MayClaim(4*tick+sound.TakeOver, 0))
}

// world is a store that takes a write where the stream ends, a platform that notes calls,
// and processes whose reads, writes and pauses rapid draws.
type world struct {
	timing  Timing
	now     time.Duration
	records []Record
	late    []write
	calls   []call
	procs   []*proc
}

type proc struct {
	node   string
	lives  int
	state  *State
	next   int // where the stream ends, as read
	frozen time.Duration
}

type write struct {
	record Record
	at     int
	due    time.Duration
}

type call struct {
	node  string
	token uint64
	at    time.Duration
}

func newWorld(processes int, timing Timing) *world {
	w := &world{timing: timing}
	for i := range processes {
		p := &proc{node: fmt.Sprint("n", i)}
		w.procs = append(w.procs, p)
		w.restart(p)
	}
	return w
}

func (w *world) restart(p *proc) {
	p.lives++
	p.state, p.next = New(Holder{p.node, fmt.Sprint(p.lives)}, w.timing), 0
}

func (w *world) put(r Record, at int) bool {
	if at != len(w.records) {
		return false
	}
	w.records = append(w.records, r)
	return true
}

func (w *world) read(p *proc) {
	p.next = len(w.records)
	if p.next == 0 {
		p.state.Observe(nil, w.now)
		return
	}
	newest := w.records[p.next-1]
	p.state.Observe(&newest, w.now)
}

// write is how a due write goes: taken, taken without an answer, carried out late, or lost.
func (w *world) write(t *rapid.T, p *proc) {
	var r Record
	switch {
	case p.state.Holds() && rapid.IntRange(0, 9).Draw(t, "release") == 0:
		r = p.state.Release(0, w.now)
	case p.state.Holds():
		r = p.state.Renew(0, w.now)
	case p.state.MayClaim(w.now, 0):
		r = p.state.Claim(uint64(p.next), w.now)
	default:
		return
	}
	switch rapid.SampledFrom([]string{"answered", "answered", "unanswered", "late", "lost"}).Draw(t, "outcome") {
	case "answered":
		if w.put(r, p.next) {
			p.next++
			p.state.Observe(&r, w.now)
		}
	case "unanswered":
		w.put(r, p.next)
	case "late":
		w.late = append(w.late, write{r, p.next, w.now + time.Duration(rapid.IntRange(1, 30).Draw(t, "late"))*tick})
	}
}

// act makes a call that arrives within the time for which the process asked.
func (w *world) act(t *rapid.T, p *proc) {
	const need = 2 * tick
	if !p.state.MayAct(w.now, need) {
		return
	}
	r, _ := p.state.Record()
	w.calls = append(w.calls, call{p.node, r.Token, w.now + time.Duration(rapid.IntRange(0, 2).Draw(t, "way"))*tick})
}

func (w *world) step(t *rapid.T) {
	w.now += tick
	for _, late := range w.late {
		if late.due == w.now {
			w.put(late.record, late.at)
		}
	}
	for _, p := range w.procs {
		if w.now < p.frozen {
			continue
		}
		switch rapid.IntRange(0, 11).Draw(t, "what") {
		case 0:
			p.frozen = w.now + time.Duration(rapid.IntRange(1, 40).Draw(t, "frozen"))*tick
		case 1:
			if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
				w.restart(p)
			}
		case 2, 3, 4, 5:
			w.read(p)
		case 6, 7, 8:
			w.write(t, p)
		default:
			w.act(t, p)
		}
	}
}

// fault tells what the platform would call a second holder; empty: nothing.
func (w *world) fault() string {
	owner := map[uint64]string{}
	for i, c := range w.calls {
		if other, known := owner[c.token]; known && other != c.node {
			return fmt.Sprintf("token %d of %s and %s", c.token, other, c.node)
		}
		owner[c.token] = c.node
		for j, before := range w.calls[:i] {
			if before.token > c.token && before.at < c.at {
				return fmt.Sprintf("token %d behind %d", c.token, before.token)
			}
			if before.node == c.node && c.at-before.at < takeOut && w.othersBetween(j, i) {
				return fmt.Sprintf("%s takes turns within %v", c.node, c.at-before.at)
			}
		}
	}
	return ""
}

func (w *world) othersBetween(first, last int) bool {
	for _, c := range w.calls[first+1 : last] {
		if c.node != w.calls[first].node && c.at > w.calls[first].at && c.at < w.calls[last].at {
			return true
		}
	}
	return false
}

func play(t *rapid.T, timing Timing) *world {
	w := newWorld(3, timing)
	for range rapid.IntRange(20, 200).Draw(t, "steps") {
		w.step(t)
	}
	return w
}

// Guards against two holders at a time, whatever is frozen, lost, carried out late or
// started again.
func TestNoTwoHoldersAct(t *testing.T) {
	acted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, sound)
		require.Empty(t, w.fault())
		acted += len(w.calls)
	})
	require.Positive(t, acted)
}

// The check above finds a lease whose holder may act for longer than others wait.
func TestABrokenLeaseIsCaught(t *testing.T) {
	caught := rapid.Custom(func(t *rapid.T) string { return play(t, broken).fault() })
	for seed := range 2000 {
		if caught.Example(seed) != "" {
			return
		}
	}
	t.Fatal("no fault was found")
}

// Guards against a duty that nobody has: once all run and the store answers, one holds it.
func TestSomebodyTakesALeaseThatWasLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, sound)
		w.late = nil
		for range 6 * int(sound.TakeOver/tick) {
			w.now += tick
			for _, p := range w.procs {
				p.frozen = 0
				w.read(p)
				if p.state.Holds() {
					r := p.state.Renew(0, w.now)
					require.True(t, w.put(r, p.next))
					p.state.Observe(&r, w.now)
				} else if p.state.MayClaim(w.now, 0) {
					r := p.state.Claim(uint64(p.next), w.now)
					require.True(t, w.put(r, p.next))
					p.state.Observe(&r, w.now)
				}
			}
		}
		holders := 0
		for _, p := range w.procs {
			w.read(p)
			if p.state.MayAct(w.now, 0) {
				holders++
			}
		}
		require.Equal(t, 1, holders)
	})
}
