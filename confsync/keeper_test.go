package confsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

// inForceLimit is the promise to operators.
const inForceLimit = 3 * time.Second

// The operator commits a revision while one process is cut off from the log.
// The others read it from the log, the one hears of it from a peer: it is in
// force everywhere within 3 s. The operator commits another one: likewise.
func TestPartitionedProcessLearnsFromPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.log.disconnected["p7"] = true
		s.startMany(40)
		for number := range uint64(3) {
			s.log.commit(revision(number+1, "a"))
			s.awaitRevision(inForceLimit, number+1)
		}
		require.False(t, s.get("p7").Status().LogReachable)
		require.NotEmpty(t, s.get("p7").Status().LogError)
	})
}

// The operator commits; only one process reads it before the log goes down for
// everybody. Then a VM is replaced. The revision spreads from the one process,
// and the new VM's process gets it as well; nobody starts from nothing.
func TestOutageAfterOneProcessRead(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		for i := 1; i < 40; i++ {
			s.log.disconnected[fmt.Sprint("p", i)] = true
		}
		s.startMany(40)
		s.log.commit(revision(1, "a"))
		synctest.Wait()
		s.log.setFaults(func(l *fakeLog) { l.down = true })
		s.awaitRevision(inForceLimit, 1)
		fresh := s.start("p40")
		s.awaitRevision(inForceLimit, 1)
		require.Equal(t, uint64(0), fresh.View().Offset)
		require.Equal(t, "f", fresh.View().Manifest.Fleet.Name)
	})
}

// The whole fleet is cut off from the log but for one process, and an exchange
// takes 100 ms. What that one reads is in force everywhere within 3 s.
func TestSpreadAtFleetSize(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		const processes = 1860
		s.latency = 100 * time.Millisecond
		for i := 1; i < processes; i++ {
			s.log.disconnected[fmt.Sprint("p", i)] = true
		}
		s.startMany(processes)
		startTime := time.Now()
		s.log.commit(revision(1, "a"))
		s.awaitRevision(inForceLimit, 1)
		t.Logf("in force everywhere after %s of virtual time", time.Since(startTime))
	})
}

// A region loses all others and the log for minutes; one process of it has
// heard the newest revision just before. Tries go to peers that answer, so
// that the region's other processes have it within seconds.
func TestPartitionedRegion(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		inRegion := func(name string) bool { return len(name) == 2 } // p0 to p9
		for i := 1; i < 10; i++ {
			s.log.disconnected[fmt.Sprint("p", i)] = true
		}
		s.partitioned = func(a, b string) bool { return inRegion(a) != inRegion(b) }
		s.startMany(70)
		s.log.commit(revision(1, "a"))
		s.awaitRevision(2*failedPeerCooldown, 1)
	})
}

// Two operators commit over revision 1. All processes take the winner, also
// the one that only peers tell; the loser's revision is in force nowhere.
func TestConcurrentCommits(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.log.disconnected["p3"] = true
		s.startMany(10)
		s.log.commit(revision(1, "a"))
		s.log.commit(revision(2, "winner"))
		s.log.commit(revision(2, "loser"))
		want := revision(2, "winner").Hash
		s.awaitAll(inForceLimit, "the winner", func(k *Keeper) bool { return k.View().Hash == want })
	})
}

// A peer sends revisions that were altered on the way, signed by nobody or by
// an unknown key, older than ours, or of another history. Each is refused and
// counted (an older one is of no interest); what is in force stays.
func TestRefusedPeerRevisions(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		k := s.start("p0")
		s.log.commit(revision(1, "a"))
		s.log.commit(revision(2, "a"))
		s.awaitRevision(inForceLimit, 2)
		before := k.View()
		altered, unsigned, unknownKey, renumbered := revision(3, "a"), revision(3, "a"), revision(3, "a"), revision(3, "a")
		altered.Manifest = append(altered.Manifest, "[fleet]\n"...)
		unsigned.Signature = nil
		unknownKey.KeyId = "other"
		renumbered.Number = 9
		for name, rev := range map[string]*pb.SignedRevision{
			"altered": altered, "unsigned": unsigned, "unknown key": unknownKey, "renumbered": renumbered,
			"other history": revision(2, "b"),
		} {
			refused := revisionsRefused.Value()
			reply, err := k.Exchange(context.Background(), &pb.ExchangeRequest{Name: "evil", Revision: rev.Number, Push: rev})
			require.NoError(t, err)
			require.Equal(t, uint64(2), reply.Revision)
			require.Greater(t, revisionsRefused.Value(), refused, name)
			require.Same(t, before, k.View(), name)
		}
		reply, err := k.Exchange(context.Background(), &pb.ExchangeRequest{Name: "late", Revision: 1, Push: revision(1, "a")})
		require.NoError(t, err)
		require.Equal(t, uint64(2), reply.Newer.Number, "the late peer is told")
		require.Same(t, before, k.View())
	})
}

// A process is cut off from the log for longer than the log keeps records.
// Meanwhile the operator commits. Back at the log it meets a gap: it keeps what
// peers gave it, never goes back, and takes the next commit.
func TestLogGap(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.log.retain = retention
		s.startMany(3)
		s.log.commit(revision(1, "a"))
		s.awaitRevision(inForceLimit, 1)
		s.log.setFaults(func(l *fakeLog) { l.disconnected["p1"] = true })
		s.log.commit(revision(2, "a"))
		s.awaitRevision(inForceLimit, 2)
		sleep.For(context.Background(), 3*retention)
		s.log.setFaults(func(l *fakeLog) { l.disconnected["p1"] = false })
		sleep.For(context.Background(), time.Minute)
		s.awaitRevision(0, 2)
		status := s.get("p1").Status()
		require.True(t, status.LogReachable)
		require.True(t, status.Settled, "a reappended record settles the gap")
		s.log.commit(revision(3, "a"))
		s.awaitRevision(inForceLimit, 3)
		require.Zero(t, s.get("p1").Status().Lag)
	})
}

// A trainer announces a version while the log answers no append and peers come
// and go. Everybody knows it within seconds; when the log is back one record
// is written, also where the append's answer is lost.
func TestAnnounce(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startMany(20)
		s.log.setFaults(func(l *fakeLog) { l.down = true })
		s.get("p4").Announce("drafter-lm", 7)
		require.Equal(t, uint64(7), s.get("p4").View().Versions["drafter-lm"], "at once")
		known := func(k *Keeper) bool { return k.View().Versions["drafter-lm"] == 7 }
		s.awaitAll(inForceLimit, "version 7", known)
		require.Equal(t, 1, s.get("p4").Status().Pending)

		s.log.setFaults(func(l *fakeLog) { l.down, l.loseAnswers = false, true })
		sleep.For(context.Background(), time.Minute)
		require.Len(t, s.log.retained(), 1)
		require.Zero(t, s.get("p4").Status().Pending)

		s.get("p9").Announce("drafter-lm", 6)
		sleep.For(context.Background(), time.Minute)
		require.Len(t, s.log.retained(), 1, "an older version is no news")
		require.Equal(t, uint64(7), s.get("p9").View().Versions["drafter-lm"])
		s.stopAll()
		s.start("p50")
		s.awaitAll(inForceLimit, "version 7 from the log", known)
	})
}

// The log has kept far more records than a new process should read. It asks a
// peer for the revision and reads on from the offset that accepted it.
func TestNewProcessSkipsLongLog(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		const commits = 3 * maxFullRead
		for number := range uint64(commits) {
			s.log.commit(revision(number+1, "a"))
		}
		s.startMany(2)
		s.awaitRevision(time.Minute, commits)
		read := logReadBytes.Value()
		s.start("p2")
		s.awaitRevision(inForceLimit, commits)
		sleep.For(context.Background(), time.Second)
		require.Less(t, logReadBytes.Value()-read, int64(10*len(s.log.retained()[0].Data)))
		s.log.commit(revision(commits+1, "a"))
		s.awaitRevision(inForceLimit, commits+1)
		require.True(t, s.get("p2").Status().Settled)
	})
}

// Commits, lost races, outages, cuts, truncations and restarts come in any
// order. A watcher at each process sees revisions and versions only rise, and
// never two contents under one number; when all is mended, all agree.
func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		checkInBubble(t, func() {
			t := r
			s := newSite(t)
			defer s.stopAll()
			history := &history{hashes: map[uint64]string{}}
			defer func() { require.Empty(t, history.faults) }()
			for i := range 4 {
				history.watch(s, fmt.Sprint("p", i))
			}
			newest, version := uint64(0), uint64(0)
			// p0 is neither cut off nor restarted: somebody knows what was accepted.
			others := rapid.SampledFrom([]string{"p1", "p2", "p3"})
			t.Repeat(map[string]func(*rapid.T){
				"commit": func(*rapid.T) {
					newest++
					s.log.commit(revision(newest, "winner"))
				},
				"lost race": func(*rapid.T) {
					if newest > 0 {
						s.log.commit(revision(newest, "loser"))
					}
				},
				"outage": func(*rapid.T) { s.log.setFaults(func(l *fakeLog) { l.down = !l.down }) },
				"cut": func(t *rapid.T) {
					name := others.Draw(t, "process")
					s.log.setFaults(func(l *fakeLog) { l.disconnected[name] = !l.disconnected[name] })
				},
				"truncate": func(*rapid.T) {
					read := s.get("p0").Status().Next
					s.log.setFaults(func(l *fakeLog) { l.first = max(l.first, read) })
				},
				"restart": func(t *rapid.T) {
					name := others.Draw(t, "process")
					s.stop(name)
					history.watch(s, name)
				},
				"announce": func(t *rapid.T) {
					version++
					s.get(others.Draw(t, "process")).Announce("m", version)
				},
				"wait": func(t *rapid.T) {
					sleep.For(context.Background(), time.Duration(rapid.IntRange(1, 100_000).Draw(t, "ms"))*time.Millisecond)
				},
			})
			s.log.setFaults(func(l *fakeLog) { l.down, l.disconnected = false, map[string]bool{} })
			s.awaitRevision(time.Minute, newest)
			s.awaitAll(time.Minute, "the version", func(k *Keeper) bool { return k.View().Versions["m"] == version })
		})
	})
}

// checkInBubble runs one case of a rapid check with virtual time. rapid stops a
// case by a panic, which has to reach its own goroutine.
func checkInBubble(t *testing.T, check func()) {
	var stopped any
	synctest.Test(t, func(*testing.T) {
		defer func() { stopped = recover() }()
		check()
	})
	if stopped != nil {
		panic(stopped)
	}
}

// history checks every View that any process publishes.
type history struct {
	mu     sync.Mutex
	hashes map[uint64]string
	faults []string
}

// watch starts a process and a reader that sees each of its Views.
func (h *history) watch(s *site, name string) {
	k := s.start(name)
	stop, done := make(chan struct{}), make(chan struct{})
	stopKeeper := s.stops[name]
	s.stops[name] = func() { stopKeeper(); close(stop); <-done }
	go func() {
		defer close(done)
		last := &View{}
		for {
			changed, view := k.Changed(), k.View()
			h.check(name, last, view)
			last = view
			select {
			case <-changed:
			case <-stop:
				return
			}
		}
	}()
}

func (h *history) check(name string, last, next *View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, seen := h.hashes[next.Number]
	if next.Number < last.Number || next.Versions["m"] < last.Versions["m"] || seen && known != next.Hash {
		h.faults = append(h.faults, fmt.Sprintf("%s went from %+v to %+v", name, last, next))
	}
	h.hashes[next.Number] = next.Hash
}

// The VM list goes down: the last answer holds. It comes back without a VM:
// whoever waits for a change is woken.
func TestVMWatcherKeepsLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{vms: []platform.VM{{Name: "b"}, {Name: "a"}}}
		w := NewVMWatcher(list, nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		changed := w.Changed()
		go w.Run(ctx)
		<-changed
		require.Equal(t, []platform.VM{{Name: "a"}, {Name: "b"}}, w.VMs())

		changed = w.Changed()
		list.set(nil, platform.ErrLogUnavailable)
		sleep.For(ctx, time.Hour)
		require.Len(t, w.VMs(), 2)
		require.Equal(t, changed, w.Changed())
		list.set([]platform.VM{{Name: "a"}}, nil)
		<-changed
		require.Equal(t, []platform.VM{{Name: "a"}}, w.VMs())
		require.Equal(t, 54, int(listInterval(1860).Seconds()))
	})
}

type fakeList struct {
	mu  sync.Mutex
	vms []platform.VM
	err error
}

func (l *fakeList) set(vms []platform.VM, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms, l.err = vms, err
}

func (l *fakeList) List(context.Context) ([]platform.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms, l.err
}
