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
	priv     = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	testKeys = manifest.Keys{"k": priv.Public().(ed25519.PublicKey)}
	epoch    = time.Unix(1_800_000_000, 0)
)

// signed makes a revision whose manifest differs with its tag; a tag with "!"
// can't be read.
func signed(number, parent uint64, tag string) *pb.SignedRevision {
	return manifest.Sign(priv, "k", number, parent, []byte("# "+tag+"\n[fleet]\nname = f\n"+unreadable(tag)))
}

func unreadable(tag string) string {
	if tag[0] == '!' {
		return "[future]\n"
	}
	return ""
}

// stream is a log's control stream.
type stream []platform.Record

func (l *stream) add(data []byte) uint64 {
	offset := uint64(len(*l))
	*l = append(*l, platform.Record{Offset: offset, Time: epoch.Add(time.Duration(offset) * time.Second), Data: data})
	return offset
}

// fold reads records [from, to) into s.
func (l stream) fold(s *State, from, to int) (events []Event) {
	for _, rec := range l[from:to] {
		events = append(events, s.Apply(rec)...)
	}
	return events
}

func read(l stream, from int) *State {
	s := New(testKeys)
	l.fold(s, from, len(l))
	return s
}

// Two operators read revision 1 and commit over it. The record that comes
// first wins; the other operator is told by which revision it was overtaken.
func TestFirstCommitForParentWins(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "a")))
	l.add(EncodeCommit("b", signed(2, 1, "b")))
	l.add(EncodeCommit("c", signed(2, 1, "c")))
	s := New(testKeys)
	events := l.fold(s, 0, len(l))
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
	for i, e := range l.fold(s, 0, len(l)) {
		require.IsType(t, Rejected{}, e, i)
	}
	require.Nil(t, s.Revision())
	require.Equal(t, uint64(3), s.Skipped())
}

// The platform repeats an append whose answer it lost. The record's writer is
// told its outcome once, and nothing is accepted twice.
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
	require.Len(t, l.fold(s, 0, 3), 3)
	require.Empty(t, l.fold(s, 3, 6))
	require.Equal(t, NewestCopy{3, l[3].Time}, s.NewestCopy())
	require.Equal(t, map[string]uint64{"m": 7}, s.Versions())
}

// A reader starts while the winner of a race is truncated already and its
// loser is not. Without more it must not take the loser; the reappend that
// some process wrote settles it, and the commit that follows is judged.
func TestRaceLoserAfterTruncation(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "winner")))
	l.add(EncodeCommit("b", signed(1, 0, "loser")))
	writer := read(l, 0)
	l.add(EncodeCommit("c", signed(2, 1, "next")))
	late := read(l, 1)
	require.False(t, late.Settled())
	require.Nil(t, late.Revision())

	data, ok := writer.EncodeReappend("r")
	require.True(t, ok)
	l.add(data)
	events := l.fold(late, 3, 4)
	require.True(t, late.Settled())
	require.Equal(t, read(l, 0).Revision(), late.Revision())
	require.IsType(t, Accepted{}, events[len(events)-1])
	require.Equal(t, uint64(2), late.Revision().Number)
	_, ok = read(l[:3], 1).EncodeReappend("x")
	require.False(t, ok, "an unsettled reader must not vouch for anything")
}

// A process cut off from the log hears of revision 2 from a peer. It is in
// force at once; reading the log later neither takes it back nor doubles it.
func TestOffer(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "a")))
	l.add(EncodeCommit("b", signed(2, 1, "b")))
	peer := read(l, 0).Revision().Signed
	s := New(testKeys)
	l.fold(s, 0, 1)
	up, err := s.Offer(peer)
	require.NoError(t, err)
	require.True(t, up)
	require.Equal(t, uint64(2), s.Revision().Number)
	up, err = s.Offer(peer)
	require.NoError(t, err)
	require.False(t, up)
	_, err = s.Offer(signed(2, 1, "other"))
	require.ErrorContains(t, err, "hash")
	_, err = s.Offer(&pb.SignedRevision{Number: 9, KeyId: "k"})
	require.Error(t, err)
	require.IsType(t, Accepted{}, l.fold(s, 1, 2)[0])
	require.Equal(t, uint64(2), s.Revision().Number)
}

// During an upgrade an old release can't read a new manifest. It keeps the
// last one that it can read, but follows the same history as the others.
func TestUnreadableManifestDoesNotForkHistory(t *testing.T) {
	var l stream
	l.add(EncodeCommit("a", signed(1, 0, "a")))
	l.add(EncodeCommit("b", signed(2, 1, "!b")))
	s := read(l, 0)
	require.Equal(t, uint64(1), s.Revision().Number)
	require.Equal(t, uint64(2), s.Head().Number)
	l.add(EncodeCommit("c", signed(3, 2, "c")))
	require.Equal(t, uint64(3), read(l, 0).Revision().Number)
}

// Every record was truncated while no process ran. An operator restarts from
// the revision after the last one known.
func TestRestart(t *testing.T) {
	l := stream{}
	for range 3 {
		l.add([]byte("truncated"))
	}
	l.add(EncodeRestart("r", signed(9, 8, "a"), 3))
	l.add(EncodeCommit("b", signed(10, 9, "b")))
	s := read(l, 3)
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
		rev := manifest.Sign(priv, "k", i+1, i, big)
		s.Apply(platform.Record{Offset: 3*maxIDs + i, Time: epoch, Data: EncodeCommit(fmt.Sprint(i), rev)})
	}
	require.LessOrEqual(t, s.heldBytes, maxHeldBytes)
	require.Equal(t, uint64(3*maxIDs+12), s.gapEnd)
}

// drawStream makes a history of races, forgeries, repeats and late reappends.
func drawStream(t *rapid.T) stream {
	var l stream
	for i := range rapid.IntRange(1, 24).Draw(t, "records") {
		id := fmt.Sprint(i)
		current := read(l, 0).headNumber()
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
				l.add(EncodeCommit(id, read(l, 0).Head().Signed))
			}
		case "version":
			l.add(EncodeVersion(id, rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), rapid.Uint64Range(1, 9).Draw(t, "version")))
		case "reappend":
			writer := read(l[:rapid.IntRange(0, len(l)).Draw(t, "lag")], 0)
			if data, ok := writer.EncodeReappend(id); ok {
				l.add(data)
			}
		}
	}
	return l
}

// Readers that start anywhere, lose any part of the log and hear from peers at
// any time agree with the reader of everything once they are settled, and
// never hold what that reader did not accept. Revisions never fall.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawStream(t)
		full := New(testKeys)
		history := map[uint64]*Revision{}
		for _, rec := range l {
			before := full.headNumber()
			for _, e := range full.Apply(rec) {
				if a, ok := e.(Accepted); ok {
					require.NotContains(t, history, a.Revision.Number, "one winner per parent")
					require.Equal(t, before, a.Revision.Parent)
					history[a.Revision.Number] = a.Revision
				}
			}
		}
		for _, rec := range l {
			require.Empty(t, full.Apply(rec), "a prefix read twice changes nothing")
		}

		s := New(testKeys)
		stop := rapid.IntRange(0, len(l)).Draw(t, "stop")
		resume := rapid.IntRange(stop, len(l)).Draw(t, "resume")
		l.fold(s, 0, rapid.IntRange(0, stop).Draw(t, "first"))
		if resume > stop {
			s.HandleTruncation()
		}
		exactVersions := true
		for _, rec := range l[min(resume, len(l)):] {
			before, readable := s.Head(), s.Revision()
			if len(history) > 0 && rapid.Bool().Draw(t, "offer") {
				n := rapid.Uint64Range(1, uint64(len(history))).Draw(t, "peer's")
				up, err := s.Offer(history[n].Signed)
				require.NoError(t, err)
				exactVersions = exactVersions && !up
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

// Nothing in the log makes a reader panic, and a commit that is accepted
// encodes to the same record's meaning again.
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

// The cost of one accepted commit with a deployment's manifest: what a process
// that starts pays for each record of the retention time.
func BenchmarkApplyCommit(b *testing.B) {
	data, err := os.ReadFile("../../examples/manifests/spolek.ini")
	require.NoError(b, err)
	const commits = 512
	var l stream
	for n := range uint64(commits) {
		l.add(EncodeCommit(fmt.Sprint(n), manifest.Sign(priv, "k", n+1, n, data)))
	}
	b.ResetTimer()
	for i := 0; i < b.N; i += commits {
		s := New(testKeys)
		l.fold(s, 0, min(commits, b.N-i))
	}
}
