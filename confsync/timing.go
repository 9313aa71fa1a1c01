package confsync

import (
	"math/rand/v2"
	"time"
)

// random is a source of numbers in [0, 1), safe for concurrent use.
type random func() float64

func newRandom() random { return rand.Float64 }

// between returns a uniform duration in [low, high).
func (r random) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r()*float64(high-low))
}

// jitter returns a random duration from d/2 to 3d/2, so that processes that
// started together don't stay synchronised.
func (r random) jitter(d time.Duration) time.Duration {
	return r.between(d/2, d+d/2)
}

// pick returns up to n different random indexes below size.
func (r random) pick(n, size int) []int {
	n = min(n, size)
	chosen := make([]int, 0, n)
	taken := make(map[int]bool, n)
	// Floyd's sampling needs n draws for any size.
	for j := size - n; j < size; j++ {
		i := int(r() * float64(j+1))
		if taken[i] {
			i = j
		}
		taken[i] = true
		chosen = append(chosen, i)
	}
	return chosen
}

// backoff is an exponential backoff with jitter: the wait doubles up to
// maxBackoff, and each wait is between half and the whole of it. At the maximum
// of 10 s all 1,860 processes together send about 250 requests per second to a
// log that is unavailable.
type backoff struct{ wait time.Duration }

const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
)

func (b *backoff) next(r random) time.Duration {
	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	return r.between(b.wait/2, b.wait)
}

func (b *backoff) reset() { b.wait = 0 }
