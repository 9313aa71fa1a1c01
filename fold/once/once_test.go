package once

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/platform"
)

var (
	epoch = time.UnixMilli(1_700_000_000_000)
	terms = Limits{Window: 10 * time.Minute, Skew: time.Second}
)

// keyAt makes the nth key issued at a time.
func keyAt(caller string, at time.Time, n uint16) Key {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8], u[14], u[15] = 0x70, 0x80, byte(n>>8), byte(n)
	return Key{Caller: caller, ID: u}
}

// drawStream draws records as agents write them that keep to the rules. Every
// clock is within half a skew of the true time, so that any two differ by a
// skew at most; an agent lets keys through that are a skew ahead of its clock.
// So the log's record times may jump back.
func drawStream(t *rapid.T) ([]platform.Record, []Key) {
	now := epoch
	var records []platform.Record
	var keys []Key
	for i := range rapid.IntRange(1, 25).Draw(t, "records") {
		now = now.Add(time.Duration(rapid.IntRange(0, 240_000).Draw(t, "ms")) * time.Millisecond)
		logTime := now.Add(time.Duration(rapid.IntRange(-500, 500).Draw(t, "log clock")) * time.Millisecond)
		b := Batch{Owner: Owner{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "agent"), Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation")}, Seq: uint64(i)}
		for range rapid.IntRange(0, 3).Draw(t, "claims") {
			var k Key
			if len(keys) > 0 && rapid.Bool().Draw(t, "repeat") {
				k = rapid.SampledFrom(keys).Draw(t, "key")
			} else {
				age := time.Duration(rapid.IntRange(-1500, 700_000).Draw(t, "age")) * time.Millisecond
				k = keyAt("shop", now.Add(-age), uint16(len(keys)))
				keys = append(keys, k)
			}
			b.Claims = append(b.Claims, Claim{Key: k, Hash: Hash{byte(i)}})
		}
		data := Encode(b)
		if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
			data = []byte("{")
		}
		records = append(records, platform.Record{Offset: uint64(i), Time: logTime, Data: data})
	}
	return records, keys
}

// Two agents tail the stream, one of them reads parts of it again after a
// reconnect. At the same offset both must say the same of every key, else each
// could believe that it owns one.
func TestTwoReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, keys := drawStream(t)
		a, b := New(terms), New(terms)
		for i, rec := range records {
			a.Apply(rec)
			for _, again := range records[rapid.IntRange(0, i).Draw(t, "from") : i+1] {
				b.Apply(again)
			}
			b.Apply(rec)
			b.Apply(records[rapid.IntRange(0, i).Draw(t, "again")])
			require.Equal(t, a.Next(), b.Next())
			require.Equal(t, a.Len(), b.Len())
			for _, k := range keys {
				require.Equal(t, a.Find(k), b.Find(k))
			}
		}
	})
}

// A caller repeats an order for as long as it likes, at agents that joined
// late (older records are truncated), hold other revisions of the manifest
// (another window), were cut off, lost the log's records, or are of a release
// that can't read some records. Whatever they have forgotten, no two of
// them may ever name two owners of one key: both would run the order.
func TestKeyNeverHasTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, keys := drawStream(t)
		owner := make(map[Key]OwnerDigest)
		for reader := range 4 {
			s := New(terms)
			for i := 0; i < len(records); i++ {
				if rapid.IntRange(0, 5).Draw(t, "window") == 0 {
					s.SetLimits(Limits{Window: time.Duration(rapid.IntRange(1, 30).Draw(t, "minutes")) * time.Minute, Skew: terms.Skew})
				}
				if reader > 0 && rapid.IntRange(0, 5).Draw(t, "cut") == 0 {
					i = rapid.IntRange(i, len(records)-1).Draw(t, "first")
					s.HandleTruncation(uint64(i))
				}
				rec := records[i]
				if reader > 0 && rapid.IntRange(0, 5).Draw(t, "other release") == 0 {
					rec.Data = []byte{versionBinary + 1}
				}
				if reader > 0 && rapid.IntRange(0, 9).Draw(t, "reset") == 0 {
					s.HandleLogReset(uint64(i))
				}
				s.Apply(rec)
				for _, k := range keys {
					f := s.Find(k)
					if f.Status != Claimed {
						continue
					}
					if _, known := owner[k]; !known {
						owner[k] = f.Owner
					}
					require.Equal(t, owner[k], f.Owner, "reader %d at %d", reader, i)
				}
			}
		}
	})
}

// An agent missed the record in which a key was claimed, and reads a later one.
// The caller's clock and the claiming agent's are as far ahead as the bound on
// skew allows, so the key was issued in the very millisecond to which the gap
// reaches. Taken for free, it would be given to a second agent, which runs the
// order again.
func TestKeyAtSkewBoundIsLost(t *testing.T) {
	lastIssue := epoch.Add(skewsPerKey * terms.Skew)
	k := keyAt("shop", lastIssue, 1)
	claim := func(incarnation string) []byte {
		return Encode(Batch{Owner: Owner{Name: "a", Incarnation: incarnation}, Claims: []Claim{{Key: k}}})
	}
	whole, missed := New(terms), New(terms)
	whole.Apply(platform.Record{Offset: 0, Time: epoch, Data: claim("1")})
	missed.HandleTruncation(1)
	second := platform.Record{Offset: 1, Time: epoch, Data: claim("2")}
	whole.Apply(second)
	missed.Apply(second)
	require.Equal(t, Owner{Name: "a", Incarnation: "1"}.OwnerDigest(), whole.Find(k).Owner)
	require.Equal(t, Lost, missed.Find(k).Status)
	require.Equal(t, Free, missed.Find(keyAt("shop", lastIssue.Add(time.Millisecond), 2)).Status)
}

// An order ran; its key fell out of the window and was forgotten. A frozen
// agent's claim of the same key lands now. If it won, the order would run
// twice; so would it if a new manifest revision widened the window again.
func TestForgottenKeyCannotBeClaimed(t *testing.T) {
	s := New(terms)
	k := keyAt("shop", epoch, 1)
	batch := func(name string) []byte {
		return Encode(Batch{Owner: Owner{Name: name}, Claims: []Claim{{Key: k}}})
	}
	s.Apply(platform.Record{Offset: 0, Time: epoch, Data: batch("a")})
	require.Equal(t, "a", s.Find(k).Owner.Name)
	s.Apply(platform.Record{Offset: 1, Time: epoch.Add(12 * time.Minute), Data: Encode(Batch{})})
	require.Zero(t, s.Len())
	s.SetLimits(Limits{Window: time.Hour, Skew: time.Second})
	s.Apply(platform.Record{Offset: 2, Time: epoch.Add(12 * time.Minute), Data: batch("b")})
	require.Equal(t, TooOld, s.Find(k).Status)
}

// An agent starts after the log dropped old records, or was cut off for so
// long. A key from before may have been claimed in what it never read: it
// can't know, and must say so. Keys issued later are free. So it is with a
// record of a newer release, and with a log that lost what was read from it;
// what was read stays known.
func TestTruncatedRecordsMakeOldKeysUnknown(t *testing.T) {
	s := New(terms)
	s.HandleTruncation(40)
	old, young := keyAt("shop", epoch, 1), keyAt("shop", epoch.Add(5*time.Second), 2)
	require.Equal(t, Lost, s.Find(young).Status, "nothing is known before the first record")
	s.Apply(platform.Record{Offset: 40, Time: epoch, Data: Encode(Batch{Claims: []Claim{{Key: old}}})})
	require.Equal(t, Lost, s.Find(old).Status)
	require.Equal(t, Lost, s.Find(keyAt("shop", epoch.Add(1999*time.Millisecond), 3)).Status, "a claim may be issued two skews ahead")
	require.Equal(t, Free, s.Find(young).Status)

	at := epoch.Add(10 * time.Second)
	require.True(t, s.Apply(platform.Record{Offset: 41, Time: at, Data: []byte{versionBinary + 1, 1}}).Unreadable)
	require.Equal(t, Lost, s.Find(young).Status, "the record may hold its claim")
	young = keyAt("shop", at.Add(5*time.Second), 4)
	require.Equal(t, Free, s.Find(young).Status)
	s.Apply(platform.Record{Offset: 42, Time: at, Data: Encode(Batch{Claims: []Claim{{Key: young}}})})

	s.HandleLogReset(0)
	require.Equal(t, Claimed, s.Find(young).Status)
	require.Equal(t, Lost, s.Find(keyAt("shop", at.Add(6*time.Second), 5)).Status)
	at = at.Add(10 * time.Second)
	require.False(t, s.Apply(platform.Record{Offset: 0, Time: at, Data: Encode(Batch{Claims: []Claim{{Key: young}}})}).Seen)
	require.Equal(t, Claimed, s.Find(young).Status)
	require.Equal(t, Lost, s.Find(keyAt("shop", at.Add(time.Second), 6)).Status)
	require.Equal(t, Free, s.Find(keyAt("shop", at.Add(5*time.Second), 7)).Status)

	empty := New(terms)
	empty.HandleTruncation(40)
	empty.HandleEmptyStream(epoch)
	require.Equal(t, Lost, empty.Find(old).Status)
	require.Equal(t, Free, empty.Find(young).Status)
}

func TestParseKey(t *testing.T) {
	want := keyAt("shop", epoch, 7)
	got, err := ParseKey("shop", want.ID.String())
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Equal(t, epoch, got.Issued())
	for _, bad := range []string{"", "7", uuid.NewString(), uuid.Nil.String()} {
		_, err := ParseKey("shop", bad)
		require.ErrorIs(t, err, ErrInvalidKey, bad)
	}
}

// Both forms of a record, as bytes that stand in streams of the past, are read
// for ever, and nothing cut short or of an unknown version passes for a batch.
func TestRecordEncodings(t *testing.T) {
	key, hash := keyAt("shop", epoch, 7), Hash{1, 2, 3, 4, 5, 6, 7, 8, 9}
	batch := Batch{Owner: Owner{Name: "a", Incarnation: "i"}, Seq: 300, Claims: []Claim{{Key: key, Hash: hash}}}
	want := Record{Owner: batch.Owner.OwnerDigest(), Seq: 300, Claims: []RecordClaim{{Key: key.Digest(), Hash: hash.Short()}}}
	const binary = "02de7d1b721a1e0632ac020161018bcfe568009249103665045e7f5ecb0102030405060708"
	forms := map[string][]byte{
		"binary": Encode(batch),
		"JSON":   []byte(`{"name":"a","inc":"i","seq":300,"claims":[{"c":"shop","k":"AYvP5WgAcACAAAAAAAAABw==","h":"AQIDBAUGBwgJAAAAAAAAAA=="}]}`),
	}
	require.Equal(t, binary, hex.EncodeToString(forms["binary"]))
	for name, data := range forms {
		got, err := Decode(data)
		require.NoError(t, err, name)
		require.Equal(t, want, got, name)
		for n := range len(data) {
			got, err := Decode(data[:n])
			require.True(t, err != nil || len(got.Claims) == 0, "%s cut at %d", name, n)
		}
	}
	_, err := Decode([]byte{versionBinary + 1})
	require.ErrorIs(t, err, ErrInvalidRecord)
	require.NotEqual(t, key.Digest(), Key{Caller: "clinic", ID: key.ID}.Digest(), "callers can't reach each other's keys")
}

// BenchmarkApply gives time and memory per claim; the slope of bytes/key over
// the sizes is what CAPACITY.md uses.
func BenchmarkApply(b *testing.B) {
	for _, keys := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			const perBatch = 10
			var records []platform.Record
			var bytes int
			for i := 0; i < keys; i += perBatch {
				batch := Batch{Owner: Owner{Name: fmt.Sprintf("agent-%d", i%300), Incarnation: uuid.NewString()[:8]}}
				for j := range perBatch {
					at := epoch.Add(time.Duration(i+j) * 600 * time.Second / time.Duration(keys))
					batch.Claims = append(batch.Claims, Claim{Key: keyAt("shop", at, uint16(i+j))})
				}
				data := Encode(batch)
				bytes += len(data)
				records = append(records, platform.Record{Offset: uint64(len(records)), Time: epoch, Data: data})
			}
			b.ReportAllocs()
			var held uint64
			for b.Loop() {
				before := heap()
				s := New(terms)
				for _, rec := range records {
					s.Apply(rec)
				}
				held = heap() - before
				if s.Len() != keys {
					b.Fatal(s.Len())
				}
			}
			b.ReportMetric(float64(held)/float64(keys), "heldB/key")
			b.ReportMetric(float64(bytes)/float64(keys), "logB/key")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*keys), "ns/key")
		})
	}
}
