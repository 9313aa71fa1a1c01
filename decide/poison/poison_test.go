package poison_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/poison"
)

var start = time.Unix(1_800_000_000, 0)

func crash(request string, server int, at time.Time) poison.Crash {
	return poison.Crash{Request: poison.Name(request), Server: "s" + strconv.Itoa(server), At: at}
}

func verdict(l *poison.Ledger, request string, now time.Time) poison.Verdict {
	return l.Standing(poison.Name(request)).Verdict(now)
}

func TestThreeServersMakeAQuarantine(t *testing.T) {
	l := poison.NewLedger()
	require.Equal(t, poison.Clear, verdict(l, "r", start))
	for server := range poison.QuarantineAt - 1 {
		require.True(t, l.Add(crash("r", server, start), start))
		require.Equal(t, poison.Suspect, verdict(l, "r", start))
	}
	require.False(t, l.Add(crash("r", 0, start), start), "a server ends once, however many tell of it")
	require.Equal(t, poison.Suspect, verdict(l, "r", start))
	l.Add(crash("r", 7, start), start)
	require.Equal(t, poison.Quarantined, verdict(l, "r", start))
	require.Equal(t, start.Add(poison.Memory), l.Standing("r").Release())
	require.Equal(t, poison.Clear, verdict(l, "other", start))
}

// A request is on its way to a server that another one ends, and is answered by the
// next. It is no suspect any more, however often that happens to it.
func TestBystanderIsClearedByAnAnswer(t *testing.T) {
	l := poison.NewLedger()
	for server := range 3 * poison.QuarantineAt {
		l.Add(crash("bystander", server, start), start)
		require.NotEqual(t, poison.Quarantined, verdict(l, "bystander", start))
		require.Len(t, l.Clear("bystander"), 1)
		require.Equal(t, poison.Clear, verdict(l, "bystander", start))
	}
}

// All servers of a small service end one after the other, and a bystander's retries
// meet the request that ends them each time. Its ends are attributed to the other as soon
// as one server ended without it; the other's stay its own.
func TestBystanderAtEachCrashIsNotBlamed(t *testing.T) {
	l := poison.NewLedger()
	for server := range poison.QuarantineAt + 1 {
		l.Add(crash("poison", server, start), start)
		if server < poison.QuarantineAt {
			l.Add(crash("bystander", server, start), start)
		}
	}
	require.Equal(t, poison.Quarantined, verdict(l, "poison", start))
	require.Equal(t, poison.Clear, verdict(l, "bystander", start))
	require.Len(t, l.Standings(), 2, "nothing is forgotten by it")
	require.Empty(t, l.Expire(start))
}

// After the quarantine one server is enough for the next: a request that still ends
// servers costs one in each, not three.
func TestQuarantineEndsOnProbation(t *testing.T) {
	l := poison.NewLedger()
	for server := range poison.QuarantineAt {
		l.Add(crash("r", server, start), start)
	}
	later := start.Add(poison.Memory)
	require.Equal(t, poison.Suspect, verdict(l, "r", later))
	l.Add(crash("r", 9, later), later)
	require.Equal(t, poison.Quarantined, verdict(l, "r", later))
	require.Equal(t, poison.Clear, verdict(l, "r", later.Add(2*poison.Memory)))
	require.NotEmpty(t, l.Expire(later.Add(2*poison.Memory)))
	require.Empty(t, l.Standings())
}

// A clock that is ahead must not make a quarantine longer, and what is long over is
// not taken from a store that still has it.
func TestTimesOfOthersAreNotTrusted(t *testing.T) {
	l := poison.NewLedger()
	for server := range poison.QuarantineAt {
		l.Add(crash("r", server, start.Add(24*time.Hour)), start)
	}
	require.Equal(t, start.Add(poison.Memory), l.Standing("r").Release())
	require.False(t, l.Add(crash("old", 1, start.Add(-3*poison.Memory)), start))
}

// A flood of suspects pushes out those under which the fewest servers ended, so that
// one which is in quarantine stays there; the ledger does not grow with them.
func TestLedgerIsBounded(t *testing.T) {
	l := poison.NewLedger()
	for server := range poison.QuarantineAt {
		l.Add(crash("r", server, start), start)
	}
	for i := range 3 * poison.RequestsMost {
		at := start.Add(time.Duration(i) * time.Millisecond)
		l.Add(crash(fmt.Sprintf("flood %d", i), i, at), at)
	}
	require.Len(t, l.Standings(), poison.RequestsMost)
	require.Equal(t, poison.Quarantined, verdict(l, "r", start.Add(time.Minute)))
	for server := range 100 {
		l.Add(crash("r", server, start), start)
	}
	require.Less(t, l.Standing("r").Ended, 100)
}

// Whatever is told in whatever order and however often: two ledgers that heard the
// same crashes hold the same; fewer than QuarantineAt servers make no quarantine, and
// so many do for the request under which most ended; and what was removed one by one is
// as if it had never come.
func TestLedgersThatHeardTheSameAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poison.Crash {
			return crash(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "request"), rapid.IntRange(0, 4).Draw(t, "server"), start)
		}), 0, 20).Draw(t, "told")
		one, two := poison.NewLedger(), poison.NewLedger()
		servers := map[poison.Name]map[string]bool{"a": {}, "b": {}}
		for _, c := range told {
			one.Add(c, start)
			servers[c.Request][c.Server] = true
		}
		for _, c := range rapid.Permutation(append(told, told...)).Draw(t, "again") {
			two.Add(c, start)
		}
		require.Equal(t, one.Standings(), two.Standings())
		for request, ended := range servers {
			quarantined := one.Standing(request).Verdict(start) == poison.Quarantined
			if len(ended) < poison.QuarantineAt {
				require.False(t, quarantined)
			} else if len(ended) >= len(servers["a"]) && len(ended) >= len(servers["b"]) {
				require.True(t, quarantined)
			}
		}
		for _, c := range told {
			one.Remove(c.Request, c.Key())
		}
		require.Empty(t, one.Standings())
	})
}

// Servers end one after the other under one request, each with any others on their way
// to it; some of these are answered in between. It is in quarantine from the third server
// on, whoever was beside it. An answered one is clear, and so is each under which fewer
// servers ended.
func TestCulpritIsFoundAmongBystanders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := poison.NewLedger()
		bystanders := []string{"a", "b", "c"}
		ends := map[string]int{}
		for server := range rapid.IntRange(1, 5).Draw(t, "servers") {
			present := append(rapid.SliceOfDistinct(rapid.SampledFrom(bystanders), rapid.ID).Draw(t, "present"), "culprit")
			for _, request := range rapid.Permutation(present).Draw(t, "order") {
				l.Add(crash(request, server, start), start)
				ends[request]++
			}
			if answered := rapid.SampledFrom(append(bystanders, "")).Draw(t, "answered"); answered != "" {
				l.Clear(poison.Name(answered))
				delete(ends, answered)
			}
			require.Equal(t, server+1 >= poison.QuarantineAt, verdict(l, "culprit", start) == poison.Quarantined)
			for _, b := range bystanders {
				if ends[b] < ends["culprit"] {
					require.Equal(t, poison.Clear, verdict(l, b, start), b)
				}
			}
		}
	})
}

// A name is made of each request while anything is suspected: 600 B are the usual body.
func BenchmarkName(b *testing.B) {
	c := poison.Content{Method: "POST", Host: "app.example", URI: "/orders/81723", Body: make([]byte, 600)}
	for b.Loop() {
		_ = c.Name()
	}
}

// What is known is made anew with each server's end, here of a full ledger.
func BenchmarkStandings(b *testing.B) {
	l := poison.NewLedger()
	for i := range poison.RequestsMost {
		for server := range poison.QuarantineAt {
			l.Add(crash(fmt.Sprint(i), i+server, start), start)
		}
	}
	for b.Loop() {
		_ = l.Standings()
	}
}
