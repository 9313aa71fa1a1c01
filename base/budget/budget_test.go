package budget

import (
	"expvar"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Random reservations of several uses: together they never exceed the total, each use always gets its
// guaranteed part, a refusal means that there was no room, and after all releases nothing is in use.
func TestSharesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 1000).Draw(t, "total")
		b := New(total)
		var shares []*Share
		guaranteedSum := int64(0)
		for range rapid.IntRange(1, 4).Draw(t, "shares") {
			s := b.Share("s", rapid.Int64Range(0, 500).Draw(t, "guaranteed"))
			guaranteedSum += s.guaranteed
			shares = append(shares, s)
		}
		require.LessOrEqual(t, guaranteedSum, total)
		held := make([]Reservation, 8)
		for i := range held {
			held[i] = shares[i%len(shares)].Reserve()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := &held[rapid.IntRange(0, len(held)-1).Draw(t, "reservation")]
			if rapid.Bool().Draw(t, "release") {
				r.Release()
				continue
			}
			n := rapid.Int64Range(0, 400).Draw(t, "n")
			inUse, free := r.share.inUse, total-guaranteedSum
			for _, s := range shares {
				free -= max(0, s.inUse-s.guaranteed)
			}
			require.GreaterOrEqual(t, free, int64(0))
			room := free + max(0, r.share.guaranteed-inUse)
			require.Equal(t, n <= room, r.Grow(n))
			sum := int64(0)
			for _, s := range shares {
				sum += s.InUse()
			}
			require.LessOrEqual(t, sum, total)
		}
		for i := range held {
			held[i].Release()
		}
		for _, s := range shares {
			require.Zero(t, s.InUse())
		}
		require.Equal(t, total-guaranteedSum, b.common)
	})
}

// Guards against a request that is refused again and again though nothing else is held, because it is larger than its
// share: it takes what others leave, and they still get what is guaranteed to them.
func TestLargeReservationTakesWhatOthersLeave(t *testing.T) {
	b := New(1000)
	large, other := b.Share("large", 250), b.Share("other", 400)
	require.EqualValues(t, 800, large.Most())
	require.True(t, other.Acquire(201))
	r := large.Reserve()
	require.False(t, r.GrowLarge(800), "the other uses too much")
	other.Release(1)
	require.False(t, r.GrowLarge(801))
	require.False(t, r.Grow(800))
	require.True(t, r.GrowLarge(500))
	require.True(t, r.GrowLarge(300))
	require.True(t, other.Acquire(200), "guaranteed")
	require.False(t, other.Acquire(1))
	small := large.Reserve()
	require.False(t, small.Grow(1))
	require.False(t, small.GrowLarge(1))
	r.Release()
	require.True(t, small.Grow(600))
	require.True(t, (&Reservation{}).GrowLarge(1<<40))
}

// Random reservations, large ones too: what is held stays within the total and half of what is guaranteed to others,
// each use always gets its guaranteed part but where a large one of its own use has it, and afterwards nothing is in use.
func TestLargeReservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1000)
		shares := []*Share{b.Share("a", 250), b.Share("b", 250), b.Share("c", 125)}
		held := make([]Reservation, 9)
		for i := range held {
			held[i] = shares[i%len(shares)].Reserve()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := &held[rapid.IntRange(0, len(held)-1).Draw(t, "reservation")]
			n := rapid.Int64Range(0, 900).Draw(t, "n")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				r.Release()
			case 1:
				inUse := r.share.inUse
				require.True(t, r.Grow(n) || inUse+n > r.share.guaranteed)
			default:
				r.GrowLarge(n)
			}
			sum := int64(0)
			for _, s := range shares {
				sum += s.inUse
				require.LessOrEqual(t, s.inUse, s.Most())
			}
			require.LessOrEqual(t, sum, int64(1000+250))
		}
		for i := range held {
			held[i].Release()
		}
		require.EqualValues(t, 375, b.common)
	})
}

// A full budget leaves a process room for what it needs itself, on VMs of any size, and no part of a large VM unused.
func TestBudgetOfVM(t *testing.T) {
	require.Nil(t, ForVM(0))
	for _, memoryMB := range []float64{40, 64, 100, 144, 184, 314, 4000} {
		memory := memoryMB * 1e6
		total := float64(ForVM(memoryMB).Total())
		require.LessOrEqual(t, total*memoryPerByte+idleBytes, memory)
		require.GreaterOrEqual(t, total, leastPart*memory)
		if memoryMB >= 144 {
			require.InDelta(t, vmPart*memory, total, 1)
		}
	}
}

// A process without a budget holds whatever it is sent.
func TestNilBudgetBoundsNothing(t *testing.T) {
	var b *Budget
	b.Publish()
	s := b.Share("s", 1)
	require.True(t, s.Acquire(1<<40))
	s.Release(1 << 40)
	r := s.Reserve()
	require.True(t, r.Grow(1<<40))
	r.Release()
	require.Zero(t, s.InUse())
}

// Guards against a budget that grows because bytes are returned twice.
func TestReleaseOfMoreThanAcquiredPanics(t *testing.T) {
	s := New(10).Share("s", 5)
	require.True(t, s.Acquire(3))
	r := s.Reserve()
	require.True(t, r.Grow(2))
	r.Release()
	r.Release()
	require.Panics(t, func() { s.Release(4) })
}

func TestSharesArePublished(t *testing.T) {
	b := New(10)
	bodies := b.Share("bodies", 4)
	b.Publish()
	require.True(t, bodies.Acquire(7))
	require.False(t, bodies.Acquire(4))
	bodies.Release(2)
	require.Equal(t, `{"bodies":5}`, expvar.Get("budget_in_use_bytes").String())
	require.Equal(t, `{"bodies":7}`, expvar.Get("budget_peak_bytes").String())
	require.Equal(t, `{"bodies":1}`, expvar.Get("budget_refused_total").String())
	require.Equal(t, "10", expvar.Get("budget_total_bytes").String())
}

// BenchmarkReservation measures what a budget adds to a request, with all cores at it.
func BenchmarkReservation(b *testing.B) {
	s := New(1<<40).Share("s", 1<<20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := s.Reserve()
			r.Grow(800)
			r.Release()
		}
	})
}
