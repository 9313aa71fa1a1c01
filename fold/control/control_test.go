package control

import (
	"crypto/ed25519"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

var (
	privateKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	testKeys   = manifest.Keys{"k": privateKey.Public().(ed25519.PublicKey)}
	epoch      = time.Unix(1_800_000_000, 0)
)

// signed returns a revision whose manifest contains the tag. If the tag starts with
// "!" the manifest can't be read.
func signed(number, parent uint64, tag string) *pb.SignedRevision {
	return manifest.Sign(privateKey, "k", number, parent, []byte("# "+tag+"\n[fleet]\nname = f\n"+unreadable(tag)))
}

func unreadable(tag string) string {
	if tag[0] == '!' {
		return "[future]\n"
	}
	return ""
}

// stream is the control stream of a log.
type stream []platform.Record

func (l *stream) add(data []byte) uint64 {
	offset := uint64(len(*l))
	*l = append(*l, platform.Record{Offset: offset, Time: epoch.Add(time.Duration(offset) * time.Second), Data: data})
	return offset
}

// foldInto applies the records [from, to) to s.
func (l stream) foldInto(s *State, from, to int) (events []Event) {
	for _, rec := range l[from:to] {
		events = append(events, s.Apply(rec)...)
	}
	return events
}

func readFrom(l stream, from int) *State {
	s := New(testKeys)
	l.foldInto(s, from, len(l))
	return s
}

// Two operators commit with revision 1 as parent. The first record in the log must
// win, and the rejection of the other must name the revision in force.
func TestFirstCommitForParentWins(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "a")))
	l.add(EncodeCommit("b", signed(2, 1, "b")))
	l.add(EncodeCommit("c", signed(2, 1, "c")))
	s := New(testKeys)
	events := l.foldInto(s, 0, len(l))
	require.Len(t, events, 3)
	require.Equal(t, Accepted{"b", s.Revision()}, events[1])
	require.Equal(t, Rejected{"c", 2, "k", "its parent is revision 1, but 2 is in force", 2}, events[2])
	require.Equal(t, uint64(1), s.Revision().Offset)
	require.Equal(t, "f", s.Revision().Manifest.Fleet.Name)
}

func TestRejections(t *testing.T) {
	forged := signed(1, 0, "a")
	forged.Manifest = append(forged.Manifest, '\n')
	var l stream
	l.add(EncodeCommit("forged", forged))
	l.add(EncodeCommit("skips", signed(3, 0, "a")))
	l.add(EncodeCommit("early", signed(2, 1, "a")))
	l.add([]byte(`{"id":"x","type":"later kind","revision":3}`))
	l.add([]byte(`{"id":"x","type":"from a newer release"}`))
	l.add([]byte(`junk`))
	s := New(testKeys)
	for i, e := range l.foldInto(s, 0, len(l)) {
		require.IsType(t, Rejected{}, e, i)
	}
	require.Nil(t, s.Revision())
	require.Equal(t, uint64(3), s.Skipped())
}

// The platform repeats an append whose response was lost. The outcome must be
// reported once, and nothing may be accepted twice.
func TestRepeatedRecordHasNoOutcome(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "a")))
	l.add(EncodeCommit("b", signed(1, 0, "b")))
	l.add(EncodeVersion("v", "m", 7))
	again := append(stream{}, l...)
	for _, rec := range again {
		l.add(rec.Data)
	}
	s := New(testKeys)
	require.Len(t, l.foldInto(s, 0, 3), 3)
	require.Empty(t, l.foldInto(s, 3, 6))
	require.Equal(t, NewestCopy{3, l[3].Time}, s.NewestCopy())
	require.Equal(t, map[string]uint64{"m": 7}, s.Versions())
}

// A reader starts when the winner of a race has been truncated and the loser has
// not. It must not accept the loser. The reappend of another process must end the
// gap, after which the held commit that follows the race is evaluated.
func TestRaceLoserAfterTruncation(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "winner")))
	l.add(EncodeCommit("b", signed(1, 0, "loser")))
	writer := readFrom(l, 0)
	l.add(EncodeCommit("c", signed(2, 1, "next")))
	late := readFrom(l, 1)
	require.False(t, late.Settled())
	require.Nil(t, late.Revision())

	data, ok := writer.EncodeReappend("r")
	require.True(t, ok)
	l.add(data)
	events := l.foldInto(late, 3, 4)
	require.True(t, late.Settled())
	require.Equal(t, readFrom(l, 0).Revision(), late.Revision())
	require.IsType(t, Accepted{}, events[len(events)-1])
	require.Equal(t, uint64(2), late.Revision().Number)
	_, ok = readFrom(l[:3], 1).EncodeReappend("x")
	require.False(t, ok, "a reader with a gap must not reappend")
}

// A process that cannot reach the log receives revision 2 from a peer. It must be in
// force at once, and reading the log later must neither revert nor repeat it.
func TestOffer(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "a")))
	l.add(EncodeCommit("b", signed(2, 1, "b")))
	peer := readFrom(l, 0).Revision().Signed
	s := New(testKeys)
	l.foldInto(s, 0, 1)
	raised, err := s.Offer(peer)
	require.NoError(t, err)
	require.True(t, raised)
	require.Equal(t, uint64(2), s.Revision().Number)
	raised, err = s.Offer(peer)
	require.NoError(t, err)
	require.False(t, raised)
	_, err = s.Offer(signed(2, 1, "other"))
	require.ErrorContains(t, err, "hash")
	_, err = s.Offer(&pb.SignedRevision{Number: 9, KeyId: "k"})
	require.Error(t, err)
	require.IsType(t, Accepted{}, l.foldInto(s, 1, 2)[0])
	require.Equal(t, uint64(2), s.Revision().Number)
}

// During an upgrade an old release can't read a new manifest. It must keep the last
// one that it can read and still follow the same history as the other processes.
func TestUnreadableManifestDoesNotForkHistory(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "a")))
	l.add(EncodeCommit("b", signed(2, 1, "!b")))
	s := readFrom(l, 0)
	require.Equal(t, uint64(1), s.Revision().Number)
	require.Equal(t, uint64(2), s.Head().Number)
	l.add(EncodeCommit("c", signed(3, 2, "c")))
	require.Equal(t, uint64(3), readFrom(l, 0).Revision().Number)
}

// Every record was truncated while no process was running. An operator restarts the
// history with the revision after the last one known.
func TestRestart(t *testing.T) {
	l := stream{}
	for range 3 {
		l.add([]byte("truncated"))
	}
	l.add(EncodeRestart("r", signed(9, 8, "a"), 3))
	l.add(EncodeCommit("b", signed(10, 9, "b")))
	s := readFrom(l, 3)
	require.True(t, s.Settled())
	require.Equal(t, uint64(10), s.Revision().Number)
}

func TestMemoryIsBounded(t *testing.T) {
	s := New(testKeys)
	for i := range uint64(2 * maxIDs) {
		s.Apply(platform.Record{Offset: i, Time: epoch, Data: EncodeVersion(fmt.Sprint(i), "m", i+1)})
	}
	require.LessOrEqual(t, len(s.ids.seen), maxIDs)
	s.Apply(platform.Record{Offset: 2 * maxIDs, Time: epoch.Add(2 * defaultIDWindow), Data: EncodeVersion("x", "m", 1)})
	require.Len(t, s.ids.seen, 1)

	big := make([]byte, 1<<20)
	s.HandleTruncation()
	for i := range uint64(20) {
		rev := manifest.Sign(privateKey, "k", i+1, i, big)
		s.Apply(platform.Record{Offset: 3*maxIDs + i, Time: epoch, Data: EncodeCommit(fmt.Sprint(i), rev)})
	}
	require.LessOrEqual(t, s.heldBytes, maxHeldBytes)
	require.Equal(t, uint64(3*maxIDs+12), s.gapEnd)
}

// drawStream draws a history with races, forgeries, repeated records and late
// reappends.
func drawStream(t *rapid.T) stream {
	var l stream
	for i := range rapid.IntRange(1, 24).Draw(t, "records") {
		id := fmt.Sprint(i)
		current := readFrom(l, 0).headNumber()
		switch rapid.SampledFrom([]string{"commit", "commit", "stray", "forged", "repeat", "copy", "version", "reappend", "reappend"}).Draw(t, "type") {
		case "commit":
			l.add(EncodeCommit(id, signed(current+1, current, rapid.SampledFrom([]string{"a", "b", "!c"}).Draw(t, "tag"))))
		case "stray":
			parent := rapid.Uint64Range(0, current+2).Draw(t, "parent")
			l.add(EncodeCommit(id, signed(parent+rapid.Uint64Range(0, 2).Draw(t, "step"), parent, "d")))
		case "forged":
			rev := signed(current+1, current, "e")
			rev.Signature[0] ^= 1
			l.add(EncodeCommit(id, rev))
		case "repeat":
			if len(l) > 0 {
				l.add(l[rapid.IntRange(0, len(l)-1).Draw(t, "of")].Data)
			}
		case "copy":
			if current > 0 {
				l.add(EncodeCommit(id, readFrom(l, 0).Head().Signed))
			}
		case "version":
			l.add(EncodeVersion(id, rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), rapid.Uint64Range(1, 9).Draw(t, "version")))
		case "reappend":
			writer := readFrom(l[:rapid.IntRange(0, len(l)).Draw(t, "lag")], 0)
			if data, ok := writer.EncodeReappend(id); ok {
				l.add(data)
			}
		}
	}
	return l
}

// Readers that start anywhere, miss any part of the log and get offers from peers at
// any time must agree, once settled, with a reader of the whole log. They must never
// hold a revision that it did not accept, and their revisions must never go back.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawStream(t)
		full := New(testKeys)
		history := map[uint64]*Revision{}
		for _, rec := range l {
			before := full.headNumber()
			for _, e := range full.Apply(rec) {
				if a, ok := e.(Accepted); ok {
					require.NotContains(t, history, a.Revision.Number, "only one commit per parent may be accepted")
					require.Equal(t, before, a.Revision.Parent)
					history[a.Revision.Number] = a.Revision
				}
			}
		}
		for _, rec := range l {
			require.Empty(t, full.Apply(rec), "records that are applied again must change nothing")
		}

		s := New(testKeys)
		stop := rapid.IntRange(0, len(l)).Draw(t, "stop")
		resume := rapid.IntRange(stop, len(l)).Draw(t, "resume")
		l.foldInto(s, 0, rapid.IntRange(0, stop).Draw(t, "first"))
		if resume > stop {
			s.HandleTruncation()
		}
		exactVersions := true
		for _, rec := range l[min(resume, len(l)):] {
			before, readable := s.Head(), s.Revision()
			if len(history) > 0 && rapid.Bool().Draw(t, "offer") {
				n := rapid.Uint64Range(1, uint64(len(history))).Draw(t, "peer's")
				raised, err := s.Offer(history[n].Signed)
				require.NoError(t, err)
				exactVersions = exactVersions && !raised
			}
			s.Apply(rec)
			if before != nil {
				require.GreaterOrEqual(t, s.Head().Number, before.Number)
			}
			if readable != nil {
				require.GreaterOrEqual(t, s.Revision().Number, readable.Number)
			}
			for _, h := range []*Revision{s.Head(), s.Revision()} {
				if h != nil {
					require.Equal(t, history[h.Number].Hash, h.Hash)
				}
			}
		}
		if !s.Settled() || s.Next() != full.Next() {
			return
		}
		require.Equal(t, full.head, s.head)
		if full.head != nil && full.head.Err == nil {
			require.Equal(t, full.Revision(), s.Revision())
		}
		if exactVersions {
			require.Equal(t, full.Versions(), s.Versions())
		}
	})
}

// No record may make a reader panic, and the reappend of an accepted commit must give
// another reader the same revision.
func FuzzApply(f *testing.F) {
	f.Add(EncodeCommit("a", signed(1, 0, "a")), uint64(0))
	f.Add(EncodeVersion("v", "m", 3), uint64(5))
	f.Add(EncodeRestart("r", signed(4, 3, "!a"), 2), uint64(2))
	f.Add([]byte(`{"id":"x","type":"commit","revision":null}`), uint64(1))
	f.Fuzz(func(t *testing.T, data []byte, offset uint64) {
		s := New(testKeys)
		s.Apply(platform.Record{Offset: offset, Time: epoch, Data: data})
		head := s.Head()
		if head == nil {
			return
		}
		require.NoError(t, testKeys.Verify(head.Signed))
		if again, ok := s.EncodeReappend("again"); ok {
			other := New(testKeys)
			other.Apply(platform.Record{Offset: s.Next(), Time: epoch, Data: again})
			require.Equal(t, head, other.Head())
		}
	})
}

// BenchmarkApplyCommit measures applying one accepted commit with a deployment's
// manifest. A process that starts does this for each record that the log keeps.
func BenchmarkApplyCommit(b *testing.B) {
	data, err := os.ReadFile("../../examples/manifests/spolek.ini")
	require.NoError(b, err)
	const commits = 512
	var l stream
	for n := range uint64(commits) {
		l.add(EncodeCommit(fmt.Sprint(n), manifest.Sign(privateKey, "k", n+1, n, data)))
	}
	b.ResetTimer()
	for i := 0; i < b.N; i += commits {
		s := New(testKeys)
		l.foldInto(s, 0, min(commits, b.N-i))
	}
}
