package cold

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// record is what the log of the model holds: a process tells of itself, or is given work.
type record struct {
	writer string
	life   string // incarnation of the writer
	gives  string // process that gets work; empty: none
	ends   string // process that has no more work
	idle   int    // its writer sends nothing by records before this one; 0: not told
}

// sharedLog is a log that processes read in order, some of them late.
type sharedLog struct{ records []record }

// process is one that sends as fast as it may.
type process struct {
	name     string
	life     string
	next     int // records that it has read
	working  map[string]bool
	senders  *Senders
	standing Standing
	sends    *Sends
	readAt   time.Duration // when it last read to the log's end
	isCut    bool
	isFrozen bool
}

func newProcess(name string, now time.Duration) *process {
	return &process{name: name, life: now.String(), working: map[string]bool{}, senders: NewSenders(), sends: NewSends(epoch.Add(now)), readAt: now}
}

// read reads the log to its end.
func (p *process) read(log *sharedLog, now time.Duration) {
	at, after := epoch.Add(now), epoch.Add(p.readAt)
	for ; p.next < len(log.records); p.next++ {
		r, position := log.records[p.next], uint64(p.next)
		if r.gives != "" {
			p.working[r.gives] = true
			p.senders.Enter(r.gives, r.life, position, after, at)
		}
		if r.ends != "" {
			delete(p.working, r.ends)
		}
		p.senders.Idle(r.writer, r.life, uint64(r.idle), at)
		p.senders.Heard(r.writer, r.life, position, after, at, func() bool { return p.working[r.writer] })
	}
	p.readAt = now
}

// tell appends a record of the process.
func (p *process) tell(log *sharedLog, r record, now time.Duration) {
	r.writer, r.life = p.name, p.life
	if !p.working[p.name] {
		r.idle = p.next
	}
	log.records = append(log.records, r)
	p.standing.Told(now, uint64(len(log.records)-1))
}

// step sends all that the process may send now, and returns how much.
func (p *process) step(total int, now time.Duration) int {
	from, may := p.standing.Check(now, now-p.readAt, uint64(p.next), p.working[p.name], func() { p.senders.Leave(p.name) })
	if !may || !p.working[p.name] {
		return 0
	}
	share := p.standing.Amend(p.senders.Place(p.name, from, epoch.Add(p.readAt), epoch.Add(now))).Share(total)
	sent := 0
	for p.sends.Take("engine", share, epoch.Add(now)) {
		sent++
	}
	return sent
}

// Owners that are cut off from the log, stand still or start again, and others that take over their work
// meanwhile, together send an engine more than it takes while it is cold.
func TestOwnersTogetherKeepTheBound(t *testing.T) {
	const step = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 30).Draw(t, "total")
		log := &sharedLog{}
		var all []*process
		for i := range rapid.IntRange(2, 9).Draw(t, "processes") {
			all = append(all, newProcess(fmt.Sprintf("vm-%d", i), 0))
		}
		var sent []time.Time
		for now := 2 * time.Second; now < 70*time.Second; now += step {
			for i, p := range all {
				switch rapid.IntRange(0, 400).Draw(t, "event") {
				case 0, 1:
					p.isCut = !p.isCut
				case 2:
					p.isFrozen = !p.isFrozen
				case 3, 4, 5, 6: // takes over from another that may not know of it
					if !p.isCut && !p.isFrozen {
						from := rapid.SampledFrom(all).Draw(t, "from").name
						if from != p.name {
							p.tell(log, record{gives: p.name, ends: from}, now)
						}
					}
				case 7:
					if !p.isCut && !p.isFrozen {
						p.tell(log, record{ends: p.name}, now)
					}
				case 8:
					p = newProcess(p.name, now)
					all[i] = p
				}
				if p.isFrozen {
					continue
				}
				if !p.isCut {
					p.read(log, now)
					if p.working[p.name] || now%(3*time.Second) == 0 {
						p.tell(log, record{}, now)
					}
				}
				for range p.step(total, now) {
					sent = append(sent, epoch.Add(now))
				}
			}
		}
		requireBound(t, sent, total)
	})
}

// An owner that nobody disturbs is left without a share.
func TestAnOwnerAloneHasTheLargestShare(t *testing.T) {
	log, p := &sharedLog{}, newProcess("vm-0", 0)
	p.tell(log, record{gives: p.name}, 2*time.Second)
	p.read(log, 2*time.Second)
	require.Equal(t, Shares(24)[0], p.step(24, 2*time.Second))
	require.Zero(t, p.step(24, 2500*time.Millisecond))
	p.tell(log, record{}, 3500*time.Millisecond)
	require.Equal(t, Shares(24)[0], p.step(24, 3500*time.Millisecond))
}

// An owner that has lost the log sends on for ever, while others no longer count it.
func TestAnOwnerWithoutTheLogStopsInTime(t *testing.T) {
	log, p := &sharedLog{}, newProcess("vm-0", 0)
	p.tell(log, record{gives: p.name}, 2*time.Second)
	p.read(log, 2*time.Second)
	for now := 2 * time.Second; now < 12*time.Second; now += 2 * time.Second {
		require.Positive(t, p.step(24, now))
	}
	require.Zero(t, p.step(24, 2*time.Second+Lease+time.Millisecond))
	other := newProcess("vm-1", 0)
	other.tell(log, record{gives: other.name}, 3*time.Second)
	other.read(log, 3*time.Second)
	rank := func(now time.Duration) int {
		return other.senders.Place(other.name, 0, epoch.Add(now), epoch.Add(now)).Rank
	}
	require.Equal(t, 2, rank(2*time.Second+Lease+time.Second), "while the lost owner may send")
	require.Equal(t, 1, rank(3*time.Second+senderExpiry), "once it can't")
}

// An owner that stood still for longer than others count it keeps its old rank, beside one that came
// meanwhile.
func TestAnOwnerThatWasForgottenEntersAgain(t *testing.T) {
	log, frozen, other := &sharedLog{}, newProcess("vm-0", 0), newProcess("vm-1", 0)
	frozen.tell(log, record{gives: frozen.name}, 2*time.Second)
	frozen.read(log, 2*time.Second)
	other.read(log, 2*time.Second)
	require.Equal(t, Shares(24)[0], frozen.step(24, 2*time.Second))
	now := 40 * time.Second
	other.read(log, now)
	other.tell(log, record{gives: other.name}, now)
	other.read(log, now)
	require.Equal(t, Shares(24)[0], other.step(24, now))
	now += time.Second
	frozen.read(log, now)
	require.Zero(t, frozen.step(24, now), "before others have heard of it")
	frozen.tell(log, record{}, now+1)
	require.Zero(t, frozen.step(24, now+1), "before it has read that")
	frozen.read(log, now+1)
	require.Equal(t, Shares(24)[1], frozen.step(24, now+1))
}

// An owner that reads the log but can't write to it sends on for ever, while others no longer count
// it.
func TestAnOwnerThatCannotTellStopsInTime(t *testing.T) {
	log, p := &sharedLog{}, newProcess("vm-0", 0)
	p.tell(log, record{gives: p.name}, 2*time.Second)
	for now := 2 * time.Second; now <= 2*time.Second+Lease; now += 2 * time.Second {
		p.read(log, now)
		require.Positive(t, p.step(24, now))
	}
	p.read(log, 2*time.Second+Lease+time.Millisecond)
	require.Zero(t, p.step(24, 2*time.Second+Lease+time.Millisecond))
}

// Several owners that come at once send beside one that has not heard of them, and that counts on the
// shares of ranks that nobody had when it last read the log.
func TestOwnersThatComeAtOnceFitBesideOneThatDoesNotKnowThem(t *testing.T) {
	for _, lag := range []time.Duration{time.Second, 8 * time.Second} {
		log, first := &sharedLog{}, newProcess("vm-0", 0)
		all := []*process{first}
		for i := 1; i <= maxNewcomers+4; i++ {
			all = append(all, newProcess(fmt.Sprintf("vm-%d", i), 0))
		}
		first.tell(log, record{gives: first.name}, 2*time.Second)
		var sent []time.Time
		const comeAt = 10 * time.Second
		for now := 2 * time.Second; now < 30*time.Second; now += 100 * time.Millisecond {
			for i, p := range all {
				if p == first && now >= comeAt && now < comeAt+lag {
					p.tell(log, record{}, now) // it writes, and does not read
				} else {
					p.read(log, now)
					p.tell(log, record{}, now)
				}
				if i > 0 && now == comeAt {
					p.tell(log, record{gives: p.name}, now)
				}
				for range p.step(24, now) {
					sent = append(sent, epoch.Add(now))
				}
			}
		}
		requireBound(t, sent, 24)
	}
}

// A process that starts again finds the record by which an earlier incarnation entered, whom the others
// have stopped counting: it takes the rank of that, beside one that came meanwhile.
func TestProcessThatStartsAgainEntersAnew(t *testing.T) {
	log, earlier, other := &sharedLog{}, newProcess("vm-0", 0), newProcess("vm-1", 0)
	earlier.tell(log, record{gives: earlier.name}, 2*time.Second)
	other.read(log, 2*time.Second)
	now := 40 * time.Second
	other.read(log, now)
	other.tell(log, record{gives: other.name}, now)
	other.read(log, now)
	require.Equal(t, Shares(24)[0], other.step(24, now))
	again := newProcess(earlier.name, now)
	now += 2 * time.Second
	again.read(log, now)
	require.Zero(t, again.step(24, now), "it has told nothing")
	again.tell(log, record{gives: again.name}, now)
	again.read(log, now)
	require.Equal(t, Shares(24)[1], again.step(24, now))
}

// Guards against steps of several trainers that start at once and are given to an owner each, of which
// the later ones wait for seconds although no earlier owner is there.
func TestOwnersThatComeTogetherHaveSharesAtOnce(t *testing.T) {
	for _, c := range []struct {
		lag  time.Duration // of the first owner before the others
		want int           // share of the sixth
	}{{0, Shares(24)[5]}, {togetherTime / 2, Shares(24)[5]}, {2 * togetherTime, 0}} {
		log := &sharedLog{}
		var all []*process
		for i := range 6 {
			all = append(all, newProcess(fmt.Sprintf("vm-%d", i), 0))
		}
		now := 10 * time.Second
		for i, p := range all {
			for _, other := range all {
				other.read(log, now)
			}
			p.tell(log, record{gives: p.name}, now)
			if i == 0 {
				now += c.lag
			}
		}
		for _, p := range all {
			p.read(log, now)
		}
		require.Equal(t, c.want, all[5].step(24, now), c.lag)
	}
}

// A process that has started again and has no work goes on to take a share of what others may send.
func TestIncarnationThatHasEndedSoonDoesNotCount(t *testing.T) {
	log, earlier, other := &sharedLog{}, newProcess("vm-0", 0), newProcess("vm-1", 0)
	earlier.tell(log, record{gives: earlier.name}, 2*time.Second)
	other.tell(log, record{gives: other.name, ends: earlier.name}, 3*time.Second)
	other.read(log, 3*time.Second)
	require.Equal(t, Shares(24)[1], other.step(24, 3*time.Second))
	again := newProcess(earlier.name, 4*time.Second)
	again.tell(log, record{}, 5*time.Second)
	other.read(log, 5*time.Second)
	require.Equal(t, Shares(24)[1], other.step(24, 5*time.Second), "what it has sent within the last second counts")
	other.tell(log, record{}, 7*time.Second)
	other.read(log, 7*time.Second)
	require.Equal(t, Shares(24)[0], other.step(24, 7*time.Second))
}

// Guards against an owner whose steps are slow for 20 s because owners that had one step each, and have
// nothing to do, keep their part of the shares.
func TestOwnerWithoutWorkSoonDoesNotCount(t *testing.T) {
	log, first, second := &sharedLog{}, newProcess("vm-0", 0), newProcess("vm-1", 0)
	first.tell(log, record{gives: first.name}, 2*time.Second)
	second.tell(log, record{gives: second.name}, 2*time.Second)
	second.read(log, 2*time.Second)
	require.Equal(t, Shares(24)[1], second.step(24, 2*time.Second))
	second.tell(log, record{ends: first.name}, 3*time.Second)
	first.tell(log, record{}, 4*time.Second) // it has not read that its work is over
	second.read(log, 4*time.Second)
	require.Equal(t, Shares(24)[1], second.step(24, 4*time.Second))
	first.read(log, 5*time.Second)
	first.tell(log, record{}, 5*time.Second)
	second.read(log, 5*time.Second)
	require.Equal(t, Shares(24)[1], second.step(24, 5500*time.Millisecond), "what it has sent within the last second counts")
	second.tell(log, record{}, 7*time.Second)
	second.read(log, 7*time.Second)
	require.Equal(t, Shares(24)[0], second.step(24, 7*time.Second))
	first.tell(log, record{gives: first.name}, 8*time.Second)
	first.read(log, 8*time.Second)
	require.Equal(t, Shares(24)[1], first.step(24, 8*time.Second), "it has entered again")
}
