package jobs

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/kinds"
	"dandelionsill.org/platform"
)

// placesOf returns the places of a process in a region, among processes whose names begin with theirs.
func placesOf(region string) Places {
	return Places{Region: region, RegionOf: func(vm string) string { return vm[:1] }}
}

// tableOf returns a configuration with a route to which jobs are submitted and one of scores, each
// with its allowed regions.
func tableOf(t *testing.T, jobRegions, scoreRegions []string, organisations ...table.Organisation) *table.Table {
	route := func(prefix string, regions []string) *table.Route {
		return &table.Route{Name: prefix, Host: "h", Prefix: prefix, Targets: []table.Target{{Service: "s", Weight: 1}}, Regions: residency.Only(regions), MaxAttempts: 1}
	}
	tb, err := table.New(1, []*table.Route{route("/job/", jobRegions), route("/score/", scoreRegions)}, []table.Service{{Name: "s"}}, table.Limits{})
	require.NoError(t, err)
	tb.Organisations, _ = table.NewDirectory(organisations)
	return tb
}

func newRegionService(region string, log Log) *Service {
	index := NewIndex(log, zap.NewNop())
	index.SetPlaces(placesOf(region))
	return NewService(index, log, jobs.Writer{VM: region + "0", Incarnation: "1"}, 4, 600, zap.NewNop())
}

// restrictBy restricts a job by a configuration.
func (s *Service) restrictBy(tb *table.Table, spec *jobs.Spec, items []jobs.Item) *kinds.Error {
	s.SetTable(func() *table.Table { return tb })
	return s.restrict(spec, items)
}

// Guards against a job that is accepted although no region may serve it, against one that its owner
// may not hold because of a score, and against one that is refused because a score has other regions.
func TestRegionsOfAJobAtSubmission(t *testing.T) {
	org := table.Organisation{Name: "o", Regions: residency.Only([]string{"b", "c"})}
	for name, c := range map[string]struct {
		job, score []string
		want       string
	}{
		"none":                   {nil, nil, "b,c"},
		"route and organisation": {[]string{"a", "b"}, nil, "b"},
		"score too":              {[]string{"a", "b", "c"}, []string{"c"}, "c"},
		"score elsewhere":        {[]string{"a", "b"}, []string{"a"}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			spec := jobs.Spec{ID: "j", Host: "h", Path: "/job/x", Organisation: "o"}
			items := []jobs.Item{{Request: jobs.Request{Host: "h", Path: "/job/x/1"}, Score: &jobs.Request{Host: "h", Path: "/score/1"}}}
			require.Nil(t, newRegionService("a", nil).restrictBy(tableOf(t, c.job, c.score, org), &spec, items))
			require.Equal(t, c.want, residency.Only(spec.Regions).String())
			require.Equal(t, []string{"b", "c"}, spec.OrganisationRegions)
		})
	}
	spec := jobs.Spec{ID: "j", Host: "h", Path: "/job/x", Organisation: "o"}
	err := newRegionService("a", nil).restrictBy(tableOf(t, []string{"a"}, nil, org), &spec, nil)
	require.Equal(t, string(kinds.NoServer), err.Kind())
	require.True(t, err.NotRun())
}

// Guards against records that differ from those of earlier releases although no regions are configured.
func TestJobWithoutRegionsIsStoredAsBefore(t *testing.T) {
	s := newRegionService("a", &strictLog{})
	spec := jobs.Spec{ID: "j", Host: "h", Path: "/job/x", Total: 1}
	items := []jobs.Item{{Request: jobs.Request{ID: "i", Host: "h", Path: "/job/x/1"}}}
	require.Nil(t, s.restrictBy(tableOf(t, nil, nil), &spec, items))
	require.Equal(t, jobs.Spec{ID: "j", Host: "h", Path: "/job/x", Total: 1}, spec)
	ref, failed := s.appendItems(t.Context(), &spec, items, func() bool { return false })
	require.Nil(t, failed)
	require.Equal(t, "texts/3", textPartOf(&jobs.TextRef{Partition: 3}).stream())
	records, err := s.encodeSubmission(spec, items, ref)
	require.NoError(t, err)
	record, err := jobs.Decode(records[0])
	require.NoError(t, err)
	require.Nil(t, record.Acceptance.Owner, "the writer owns the job")
	data, err := json.Marshal([]any{record.Acceptance.Spec, jobs.TextRef{Partition: 3, Offset: 2, Bytes: 1}})
	require.NoError(t, err)
	require.JSONEq(t, `[{"id": "j", "h": "h", "p": "/job/x", "s": 0, "t": 1, "at": `+strconv.FormatInt(record.Acceptance.SubmittedMS, 10)+`}, {"p": 3, "o": 2, "b": 1}]`, string(data))
	call, err := json.Marshal(requestedText{Part: 3, Offset: 2, Item: "i"})
	require.NoError(t, err)
	require.JSONEq(t, `{"part": 3, "offset": 2, "item": "i"}`, string(call))
}

// Guards against more streams than the store accepts, whatever sets of regions are configured.
func TestNumberOfStreamsIsBounded(t *testing.T) {
	regions := residency.Only([]string{"a", "b", "c", "d", "e", "f", "g"})
	for _, job := range []string{"j1", "j2", "j3"} {
		held := holdersOf(job, regions)
		require.Len(t, held.Names(), maxHoldingRegions)
		require.Equal(t, held, held.And(regions))
		require.Equal(t, held, holdersOf(job, regions), "the same each time")
	}
	pair := residency.Only([]string{"a", "b"})
	require.Equal(t, pair, holdersOf("j1", pair))
	require.Equal(t, residency.Regions{}, holdersOf("j1", residency.Regions{}))
	part := textPart{pair.Key(), 2}
	require.Equal(t, "texts.a.b/2", part.stream())
	require.Equal(t, pair, RegionsOfTopic("texts.a.b"))
	require.False(t, RegionsOfTopic(textTopic).IsRestricted())
	require.False(t, RegionsOfTopic(Stream).IsRestricted())
}

// Guards against a job that is given to a process outside its regions, whose owner would read the
// items' bodies.
func TestOwnersAreChosenInTheRegions(t *testing.T) {
	for name, c := range map[string]struct {
		region  string // of the accepting process
		others  []string
		regions []string
		want    *jobs.Writer
	}{
		"no regions":             {"b", []string{"a1"}, nil, &jobs.Writer{VM: "a1"}},
		"own region":             {"b", []string{"a1"}, []string{"b"}, nil},
		"other region":           {"b", []string{"b1", "a1", "c1"}, []string{"a"}, &jobs.Writer{VM: "a1"}},
		"nobody there":           {"b", []string{"b1", "c1"}, []string{"a"}, &jobs.Writer{}},
		"own region unknown":     {"", []string{"c1"}, []string{"a"}, &jobs.Writer{}},
		"one of several regions": {"b", []string{"c1"}, []string{"a", "c"}, &jobs.Writer{VM: "c1"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRegionService(c.region, nil)
			for i, vm := range c.others {
				w := jobs.Writer{VM: vm}
				s.index.state.Apply(uint64(i), &jobs.Record{Writer: w, Capacity: 600})
				s.index.lastRecordAt[w] = time.Now()
			}
			s.index.readableSince = time.Now().Add(-time.Hour)
			require.Equal(t, c.want, s.chooseOwner(10, residency.Only(c.regions)))
		})
	}
}

// newRegionRunner returns the runner of a process in a region whose view has a configuration. It has
// read the log until now.
func newRegionRunner(t *testing.T, region string, tb *table.Table) *Runner {
	s := newRegionService(region, &strictLog{})
	v := view.New(oneTable{tb}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go v.Run(ctx)
	require.Eventually(t, func() bool { return v.Current().Table != nil }, 10*time.Second, time.Millisecond)
	r := &Runner{index: s.index, view: v, writer: s.writer, zlog: zap.NewNop(), out: newStrictOutbox(&strictLog{}), regionWaits: map[string]bool{}, claimedAt: map[string]time.Time{}, releasedClaims: map[string]uint64{}}
	r.out.capacity = 600
	r.index.asOf, r.index.readableSince = time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	return r
}

// oneTable is a store with one configuration.
type oneTable struct{ table *table.Table }

func (f oneTable) Snapshot(_ context.Context, feed platform.Feed) (platform.FeedPage, error) {
	if feed != platform.FeedOperator {
		return platform.FeedPage{Next: 1}, nil
	}
	return platform.FeedPage{Next: 1, Changes: []platform.Change{{Table: f.table}}}, nil
}

func (oneTable) Changes(ctx context.Context, _ platform.Feed, _ uint64, _ time.Duration) (platform.FeedPage, error) {
	<-ctx.Done()
	return platform.FeedPage{}, ctx.Err()
}
func (oneTable) End(_ context.Context, _ platform.Feed, from uint64) (uint64, error) {
	return from, nil
}
func (oneTable) SaveCopy(context.Context, platform.Feed) error                      { return nil }
func (oneTable) LoadCopy(context.Context, platform.Feed) ([]platform.Change, error) { return nil, nil }

// accept adds a job with texts in regions, whose owner is a VM, an hour ago.
func (r *Runner) accept(owner string, regions ...string) {
	a := &jobs.Acceptance{Spec: jobs.Spec{ID: "j", Host: "h", Path: "/job/x", Total: 1, Regions: regions}, Owner: &jobs.Writer{VM: owner, Incarnation: "1"}}
	if owner == "" {
		a.Owner = &jobs.Writer{}
	}
	a.Parts, a.Items, a.ItemsRef = 1, []jobs.ItemRef{{ID: "i"}}, jobs.TextRef{Regions: residency.Only(regions).Key()}
	r.index.state.Apply(1, &jobs.Record{Writer: jobs.Writer{VM: "z0", Incarnation: "1"}, Acceptance: a})
	r.index.acceptedAt["j"] = time.Now().Add(-time.Hour)
}

// Guards against a takeover by a process outside the job's regions, by submission or by the current
// configuration, and against a job that nobody may take over although a region may have it.
func TestJobsAreTakenOverInTheirRegions(t *testing.T) {
	for name, c := range map[string]struct {
		region string
		stored []string
		now    []string
		claims bool
	}{
		"no regions":               {"b", nil, nil, true},
		"in the region":            {"a", []string{"a"}, []string{"a"}, true},
		"elsewhere":                {"b", []string{"a"}, []string{"a"}, false},
		"region unknown":           {"", []string{"a"}, []string{"a"}, false},
		"narrowed, in":             {"a", []string{"a", "b"}, []string{"a"}, true},
		"narrowed, out":            {"b", []string{"a", "b"}, []string{"a"}, false},
		"widened":                  {"b", []string{"a"}, nil, false},
		"restricted since":         {"b", nil, []string{"a"}, false},
		"moved, where texts are":   {"a", []string{"a"}, []string{"b"}, true},
		"moved, where they aren't": {"b", []string{"a"}, []string{"b"}, false},
	} {
		for _, owner := range []string{"a9", ""} {
			t.Run(name+", owner "+owner, func(t *testing.T) {
				r := newRegionRunner(t, c.region, tableOf(t, c.now, nil))
				r.accept(owner, c.stored...)
				r.reconcileJobs(t.Context(), time.Now())
				require.Equal(t, c.claims, len(r.out.pending.Claims) == 1)
				require.Equal(t, !c.claims, r.countRegionWaits() == 1)
			})
		}
	}
}

// Guards against an owner that keeps a job after its regions have changed.
func TestOwnerReleasesJobWhoseRegionsChanged(t *testing.T) {
	r := newRegionRunner(t, "b", tableOf(t, []string{"a"}, nil))
	r.accept("b0", "a", "b")
	r.reconcileJobs(t.Context(), time.Now())
	r.reconcileJobs(t.Context(), time.Now())
	require.Equal(t, []string{"j"}, r.out.appenders[textPart{regions: "a.b"}].releases)
	require.Zero(t, r.countRegionWaits())
}

// Guards against any way in which a body is read, or an item sent, where it may not be, over random
// regions at submission, later ones, processes and engines.
func TestNoJobLeavesItsRegions(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	sets := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID[string])
	rapid.Check(t, func(rt *rapid.T) {
		config := func(label string) *table.Table {
			return tableOf(t, sets.Draw(rt, label+" job"), sets.Draw(rt, label+" score"), table.Organisation{Name: "o", Regions: residency.Only(sets.Draw(rt, label+" organisation"))})
		}
		before, now := config("before"), config("now")
		spec := jobs.Spec{ID: rapid.StringN(1, 4, -1).Draw(rt, "id"), Host: "h", Path: "/job/x", Organisation: "o"}
		items := []jobs.Item{{Request: jobs.Request{Host: "h", Path: "/job/x/1"}}}
		s := newRegionService(rapid.SampledFrom(all).Draw(rt, "accepting"), &strictLog{})
		submitted, current := before.RegionsOf("h", "/job/x", "o"), now.RegionsOf("h", "/job/x", "o")
		if err := s.restrictBy(before, &spec, items); err != nil {
			require.True(rt, submitted.AllowsNone())
			return
		}
		ref, _ := s.appendItems(t.Context(), &spec, items, func() bool { return false })
		for i, vm := range rapid.SliceOfN(rapid.SampledFrom([]string{"a1", "b1", "c1", "d1", "e1"}), 0, 4).Draw(rt, "processes") {
			s.index.state.Apply(uint64(i), &jobs.Record{Writer: jobs.Writer{VM: vm}, Capacity: 600})
			s.index.lastRecordAt[jobs.Writer{VM: vm}] = time.Now()
		}
		s.index.readableSince = time.Now().Add(-time.Hour)
		owner := s.chooseOwner(1, holders(&ref))
		require.True(rt, owner == nil && submitted.Allows(s.index.places.Region) || owner != nil && (owner.VM == "" || submitted.Allows(owner.VM[:1])))
		j := &jobs.Job{Spec: spec, ItemsRef: ref}
		for _, region := range append(all, "") {
			places := placesOf(region)
			mayRead, mayOwn := RegionsOfTopic(strings.Split(textPartOf(&ref).stream(), "/")[0]).Allows(region), places.allows(ownerRegions(now, j))
			require.False(rt, mayRead && !submitted.Allows(region), "reads")
			require.False(rt, mayOwn && !mayRead, "owns what it may not read")
			require.False(rt, mayOwn && !current.Allows(region) && !holders(&ref).And(current).AllowsNone(), "owns where it is not allowed any more")
			sent := regionsNow(now, spec.Regions, "h", "/job/x/1", "o").Allows(region)
			require.False(rt, sent && !current.Allows(region), "sends")
			require.Equal(rt, sent, len(serversIn([]members.Server{{Region: region}}, regionsNow(now, spec.Regions, "h", "/job/x/1", "o"))) == 1)
		}
	})
}

// Guards against engines of all regions that load a model which only some regions need, and against
// engines that drop one which a job without allowed regions needs too.
func TestModelRegionsAreThoseOfAllItsJobs(t *testing.T) {
	index := NewIndex(nil, zap.NewNop())
	for i, j := range []struct {
		model   string
		regions []string
	}{{"a", []string{"a"}}, {"ab", []string{"a"}}, {"ab", []string{"b"}}, {"any", []string{"a"}}, {"any", nil}, {"any", []string{"b"}}} {
		id := strconv.Itoa(i)
		index.state.Apply(uint64(i), &jobs.Record{Writer: jobs.Writer{VM: "a0"}, Acceptance: &jobs.Acceptance{
			Spec: jobs.Spec{ID: id, Host: "h", Path: "/job/" + id, Model: j.model, Regions: j.regions}, Parts: 1, Items: []jobs.ItemRef{{ID: id}},
		}})
	}
	a, ab := residency.Only([]string{"a"}), residency.Only([]string{"a", "b"})
	require.Equal(t, map[string]residency.Regions{"a": a, "ab": ab}, index.ModelRegions(nil))
	w := httptest.NewRecorder()
	index.ServeModelRegions(nil)(w, nil)
	require.Equal(t, http.StatusServiceUnavailable, w.Code, "it may not know all jobs")
	index.asOf, w = time.Now(), httptest.NewRecorder()
	index.ServeModelRegions(func() *table.Table { return tableOf(t, []string{"a"}, nil) })(w, nil)
	require.JSONEq(t, `{"a": "a", "ab": "a", "any": "a"}`, w.Body.String(), "the current configuration binds")
}
