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

// inForceLimit is the time within which a commit must be in force at all
// processes, as promised to operators.
const inForceLimit = 3 * time.Second

// The operator commits revisions while one process can't reach the log. The other
// processes read them from the log; the partitioned one receives them from a
// peer. Each revision is in force everywhere within 3 s.
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

// The operator commits, and only one process reads the commit before the log
// becomes unavailable to all. Then a VM is replaced. The revision spreads from
// that process to all others, including the new VM's process.
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

// Only one process of the fleet can reach the log, and an exchange takes 100 ms.
// What that process reads is in force everywhere within 3 s.
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

// A region is partitioned from all others, and only one process in it can read
// the log. Exchanges go to peers that answer, so the region's other processes
// have the newest revision within seconds.
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

// Two operators commit concurrently on top of revision 1. All processes accept
// the first commit, also the process that can reach only its peers. The other
// revision is in force nowhere.
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

// A peer sends revisions that are altered, unsigned, signed with an unknown key,
// older than the one in force, or from another history. Each is refused and
// counted, except that an older one is only ignored, and the revision in force
// stays.
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
		require.Equal(t, uint64(2), reply.Newer.Number, "the peer with the older revision gets the newer one")
		require.Same(t, before, k.View())
	})
}

// A process can't reach the log for longer than the log keeps records, and the
// operator commits meanwhile. When the process can read the log again it finds a
// gap: it keeps what peers sent, never returns to an older revision, and accepts
// the next commit.
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

// A trainer announces a version while the log is unavailable. All processes know
// it within seconds. When the log is available again one record is written, even
// if the append's answer is lost.
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
		require.Len(t, s.log.retained(), 1, "an older version is not appended")
		require.Equal(t, uint64(7), s.get("p9").View().Versions["drafter-lm"])
		s.stopAll()
		s.start("p50")
		s.awaitAll(inForceLimit, "version 7 from the log", known)
	})
}

// The log holds far more records than a new process should read. The process
// gets the revision from a peer and reads from the offset that accepted it.
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

// Commits, concurrent commits, outages, partitions, truncations and restarts
// happen in any order. At each process revisions and versions never decrease,
// and no revision number has two contents. When all faults are repaired, all
// processes agree.
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
			// p0 is never partitioned or restarted, so one process knows what was accepted.
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
// case with a panic, which must be raised on rapid's own goroutine.
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

// history checks all Views that the processes publish.
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

// While the VM list can't be read, the watcher keeps the last one. When the list
// is available again and lacks a VM, Changed's channel is closed.
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
