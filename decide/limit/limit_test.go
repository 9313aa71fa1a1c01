package limit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/kinds"
)

var start = time.Unix(1000, 0)

func TestRateRefusalHasRetryAfter(t *testing.T) {
	c := New(Limits{Rate: 2, Burst: 3}, start)
	for range 3 {
		require.Nil(t, c.Admit(start, kinds.Hold()))
	}
	refusal := c.Admit(start, kinds.Hold())
	require.Equal(t, string(kinds.RateLimited), refusal.Kind())
	require.True(t, refusal.NotRun())
	wait := refusal.Answer().RetryAfter
	require.InDelta(t, 500*time.Millisecond, wait, float64(time.Millisecond))
	require.NotNil(t, c.Admit(start.Add(wait-10*time.Millisecond), kinds.Hold()))
	require.Nil(t, c.Admit(start.Add(wait+time.Millisecond), kinds.Hold()))
}

func TestConcurrencyLimit(t *testing.T) {
	c := New(Limits{MaxConcurrent: 2}, start)
	require.Nil(t, c.Admit(start, kinds.Hold()))
	require.Nil(t, c.Admit(start, kinds.Hold()))
	refusal := c.Admit(start, kinds.Hold())
	require.Equal(t, string(kinds.RateLimited), refusal.Kind())
	require.Positive(t, refusal.Answer().RetryAfter)
	c.Release()
	require.Nil(t, c.Admit(start, kinds.Hold()))
}

func TestNewLimitsKeepUsage(t *testing.T) {
	c := New(Limits{MaxConcurrent: 2, Rate: 1, Burst: 1}, start)
	require.Nil(t, c.Admit(start, kinds.Hold()))
	c.SetLimits(Limits{MaxConcurrent: 1}, start)
	require.NotNil(t, c.Admit(start, kinds.Hold()))
	c.SetLimits(Limits{}, start)
	require.Nil(t, c.Admit(start, kinds.Hold()))
}

func TestShareRoundsUp(t *testing.T) {
	whole := Limits{Rate: 10, Burst: 4, MaxConcurrent: 7, RetryPercent: 10}
	require.Equal(t, whole, whole.Share(1))
	require.Equal(t, Limits{Rate: 2.5, Burst: 1, MaxConcurrent: 2, RetryPercent: 10}, whole.Share(4))
	require.Equal(t, Limits{}, Limits{}.Share(3))
}

func TestAdmittedRequestsNeverExceedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: rapid.IntRange(1, 20).Draw(t, "burst")}
		c, now, admitted := New(limits, start), start, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if c.Admit(now, kinds.Hold()) == nil {
				admitted++
				c.Release()
			}
		}
		limit := float64(limits.Burst) + limits.Rate*now.Sub(start).Seconds()
		if float64(admitted) > limit+0.01 {
			t.Fatalf("%d admitted, the limit is %.2f", admitted, limit)
		}
	})
}

// Every server fails for minutes, and each request of a caller asks for three
// retries. With a budget of 10 percent the servers must get the requests and a
// tenth more, instead of four times the load.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := float64(rapid.IntRange(0, 50).Draw(t, "percent"))
		requests := rapid.IntRange(0, 500).Draw(t, "requests")
		c, retries := New(Limits{RetryPercent: percent}, start), 0
		for range requests {
			require.Nil(t, c.Admit(start, kinds.Hold()))
			for range 3 {
				if c.TakeRetry() {
					retries++
				}
			}
			c.Release()
		}
		if limit := maxSavedRetries + percent/100*float64(requests); float64(retries) > limit+0.01 {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
		if percent == 0 && retries > 0 {
			t.Fatal("retries without a budget")
		}
	})
}
