package jobs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	ann = Writer{VM: "ann", Incarnation: "1"}
	bob = Writer{VM: "bob", Incarnation: "1"}
)

// acceptRecord returns a record that accepts a job of two items.
func acceptRecord(w Writer, id string) *Record {
	return &Record{Writer: w, Acceptance: &Acceptance{
		Spec: Spec{ID: id, Model: "m", Total: 2}, Submission: w.VM, Parts: 1,
		Items: []ItemRef{{ID: "a"}, {ID: "b"}},
	}}
}

// A trainer that gets no answer submits the same job at another entry, and both
// records reach the log. The job must exist once, with the first record's owner.
func TestJobIsAcceptedOnce(t *testing.T) {
	s := New()
	require.Equal(t, []string{"j"}, s.Apply(0, acceptRecord(ann, "j")).Accepted)
	require.Empty(t, s.Apply(1, acceptRecord(bob, "j")).Accepted)
	require.Equal(t, ann, s.Jobs["j"].Owner)
	require.Equal(t, 2, s.Jobs["j"].Total)
}

// A large job is split over several records. It must not be visible until all of
// them have been read, or its items would be miscounted.
func TestJobIsVisibleAfterItsLastPart(t *testing.T) {
	s := New()
	part := func(n int, item string) *Record {
		return &Record{Writer: ann, Acceptance: &Acceptance{Spec: Spec{ID: "j"}, Submission: "x", Part: n, Parts: 2, Items: []ItemRef{{ID: item}}}}
	}
	require.Empty(t, s.Apply(0, part(1, "b")).Accepted)
	require.Nil(t, s.Jobs["j"])
	require.Equal(t, []string{"j"}, s.Apply(1, part(0, "a")).Accepted)
	require.Equal(t, []string{"a", "b"}, s.Jobs["j"].Order)
}

// A trainer waits for one of two groups, and always for a group that it submits a
// second time. Enough must become true only when all of these are complete.
func TestEnough(t *testing.T) {
	acceptGroups := func(id string, groups ...string) *Record {
		a := &Acceptance{Spec: Spec{ID: id, Model: "m", Groups: 1}, Parts: 1}
		for _, g := range groups {
			a.Items = append(a.Items, ItemRef{ID: g + "1", Group: g}, ItemRef{ID: g + "2", Group: g})
		}
		return &Record{Writer: ann, Acceptance: a}
	}
	addResult := func(job, item string) *Record {
		return &Record{Writer: ann, Results: []Result{{Job: job, Item: item}}}
	}
	s := New()
	s.Apply(0, acceptGroups("j", "x", "y"))
	s.Apply(1, addResult("j", "x1"))
	s.Apply(2, addResult("j", "y1"))
	require.False(t, s.Jobs["j"].Enough())
	s.Apply(3, addResult("j", "x2"))
	require.True(t, s.Jobs["j"].Enough())

	s.Apply(4, &Record{Writer: ann, Ends: []string{"j"}})
	s.Apply(5, acceptGroups("k", "y", "z"))
	s.Apply(6, addResult("k", "z1"))
	s.Apply(7, addResult("k", "z2"))
	require.False(t, s.Jobs["k"].Enough())
	s.Apply(8, addResult("k", "y1"))
	s.Apply(9, addResult("k", "y2"))
	require.True(t, s.Jobs["k"].Enough())
}

// Two owners finish an item, or the store executes an append twice. The trainer
// may have read the first result, so its position and text must not change.
func TestFirstResultWins(t *testing.T) {
	s := New()
	s.Apply(0, acceptRecord(ann, "j"))
	s.Apply(1, &Record{Writer: ann, Results: []Result{{Job: "j", Item: "b", Score: "first"}}})
	s.Apply(2, &Record{Writer: bob, Results: []Result{{Job: "j", Item: "b", Score: "second"}, {Job: "j", Item: "a", Score: "x"}}})
	j := s.Jobs["j"]
	require.Equal(t, "first", j.Results[0].Score)
	require.Equal(t, "a", j.Results[1].Item)
	require.Len(t, j.Results, 2)
	require.False(t, j.IsOpen())
}

// Two entries find the owner unresponsive and claim its job at the same time. Both
// claims have the same prior offset: only the first may win, and later starts that
// the old owner reports must be ignored.
func TestFirstClaimWins(t *testing.T) {
	s := New()
	s.Apply(0, acceptRecord(ann, "j"))
	cyd := Writer{VM: "cyd", Incarnation: "1"}
	s.Apply(1, &Record{Writer: bob, Claims: []Claim{{Job: "j", PriorOffset: 0}}})
	s.Apply(2, &Record{Writer: cyd, Claims: []Claim{{Job: "j", PriorOffset: 0}}})
	require.Equal(t, bob, s.Jobs["j"].Owner)
	s.Apply(3, &Record{Writer: ann, Starts: []Start{{Job: "j", Item: "a", Server: "e1"}}})
	require.Zero(t, s.Running("e1"))
	s.Apply(4, &Record{Writer: cyd, Claims: []Claim{{Job: "j", PriorOffset: 1}}})
	require.Equal(t, cyd, s.Jobs["j"].Owner)
}

// A process that leaves releases its jobs. Their samples must no longer count as
// running, or the engines' capacity would stay reserved.
func TestReleaseClearsRunningItems(t *testing.T) {
	s := New()
	s.Apply(0, acceptRecord(ann, "j"))
	s.Apply(1, &Record{Writer: ann, Starts: []Start{{Job: "j", Item: "a", Server: "e1"}, {Job: "j", Item: "b", Server: "e1"}}})
	require.Equal(t, 2, s.Running("e1"))
	s.Apply(2, &Record{Writer: ann, Releases: []string{"j"}, Leaving: true})
	require.Zero(t, s.Running("e1"))
	require.True(t, s.Jobs["j"].Released)
	require.Empty(t, s.EligibleOwners())
}

// The owner of the newest job must come first, so that a trainer's next step goes to
// the process that has its connections. Processes that have only reported their
// capacity follow.
func TestEligibleOwnersOrder(t *testing.T) {
	s := New()
	s.Apply(0, &Record{Writer: Writer{VM: "cyd", Incarnation: "1"}, Capacity: 600})
	s.Apply(1, &Record{Writer: ann, Capacity: 100})
	s.Apply(2, acceptRecord(ann, "j"))
	s.Apply(3, acceptRecord(bob, "k"))
	s.Apply(4, &Record{Writer: bob, Results: []Result{{Job: "k", Item: "a"}}})
	require.Equal(t, []OwnerLoad{{bob, 1, 0}, {ann, 2, 100}, {Writer{VM: "cyd", Incarnation: "1"}, 0, 600}}, s.EligibleOwners())
}

// Forget must drop old jobs that have ended, and never an open one.
func TestForgetKeepsOpenJobs(t *testing.T) {
	s := New()
	s.Apply(0, acceptRecord(ann, "open"))
	s.Apply(1, acceptRecord(ann, "over"))
	s.Apply(2, &Record{Writer: ann, Ends: []string{"over"}})
	s.Forget(1)
	require.NotNil(t, s.Jobs["open"])
	require.Nil(t, s.Jobs["over"])
}

func genRecord(t *rapid.T) *Record {
	writer := rapid.SampledFrom([]Writer{ann, bob}).Draw(t, "writer")
	job := rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job")
	item := rapid.SampledFrom([]string{"a", "b", "zz"}).Draw(t, "item")
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		return acceptRecord(writer, job)
	case 1:
		return &Record{Writer: writer, Claims: []Claim{{Job: job, PriorOffset: rapid.Uint64Range(0, 40).Draw(t, "prior")}}}
	case 2:
		return &Record{Writer: writer, Leaving: true}
	case 3:
		return &Record{Writer: writer, Results: []Result{{Job: job, Item: item, Score: fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "text"))}}}
	case 4:
		return &Record{Writer: writer, Ends: []string{job}}
	case 5:
		return &Record{Writer: writer, Starts: []Start{{Job: job, Item: item, Server: rapid.SampledFrom([]string{"", "e1", "e2"}).Draw(t, "server")}}}
	default:
		return &Record{Writer: writer, Releases: []string{job}}
	}
}

// For any log: results never move or change, an item has at most one result, the
// running items per server add up, and a reader of the encoded records reaches the
// same state.
func TestFoldInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(), New()
		listed := map[string][]Result{}
		n := rapid.IntRange(0, 40).Draw(t, "records")
		for offset := range n {
			r := genRecord(t)
			first.Apply(uint64(offset), r)
			data, err := r.Encode()
			require.NoError(t, err)
			decoded, err := Decode(data)
			require.NoError(t, err)
			second.Apply(uint64(offset), decoded)
			running := map[string]int{}
			for id, j := range first.Jobs {
				require.GreaterOrEqual(t, len(j.Results), len(listed[id]))
				for i, before := range listed[id] {
					require.Equal(t, before, j.Results[i], "an already listed result must not change")
				}
				listed[id] = append([]Result(nil), j.Results...)
				seen := map[string]bool{}
				for _, res := range j.Results {
					require.False(t, seen[res.Item])
					seen[res.Item] = true
				}
				for _, item := range j.Items {
					if item.Server != "" {
						running[item.Server]++
					}
				}
			}
			for _, server := range []string{"e1", "e2"} {
				require.Equal(t, running[server], first.Running(server))
			}
		}
		require.Equal(t, len(first.Jobs), len(second.Jobs))
		for id, j := range first.Jobs {
			require.Equal(t, j.Results, second.Jobs[id].Results)
			require.Equal(t, j.Owner, second.Jobs[id].Owner)
		}
	})
}

// A record that is in the log twice, because its response was lost and it was
// appended again, must not change results or the end of a job the second time.
func TestRepeatedRecordsDoNotChangeResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once, twice := New(), New()
		offset := uint64(0)
		for range rapid.IntRange(0, 30).Draw(t, "records") {
			r := genRecord(t)
			if len(r.Claims) > 0 {
				continue // claims refer to offsets, which would differ between the two logs
			}
			once.Apply(offset, r)
			twice.Apply(offset, r)
			twice.Apply(offset, r)
			offset++
		}
		for id, j := range once.Jobs {
			require.Equal(t, j.Results, twice.Jobs[id].Results)
			require.Equal(t, j.Ended, twice.Jobs[id].Ended)
		}
	})
}

// No input may make Decode or Apply panic.
func FuzzDecode(f *testing.F) {
	good, err := acceptRecord(ann, "j").Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"n":"x","a":{"id":"j","ps":1,"pt":7}}`))
	f.Add([]byte(`{"n":"x","rs":[{"j":"j","i":"a","t":{"o":7}}]}`))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		s := New()
		s.Apply(0, acceptRecord(ann, "j"))
		s.Apply(1, r)
	})
}
