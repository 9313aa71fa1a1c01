package jobs

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/fold/jobs"
	"dandelionsill.org/kinds"
)

// maxHoldingRegions bounds the regions that hold a job with allowed regions. Each set of regions
// needs a stream of texts of its own; the store has room for those of one and of two of 12 regions.
const maxHoldingRegions = 2

// textTopic is the topic of the texts of jobs that every process may read. The texts of jobs with
// allowed regions are in topics whose names continue with a dot and the key of the regions.
const textTopic = "texts"

// Places tells where processes are. The zero value knows none: the process then runs only jobs
// without allowed regions.
type Places struct {
	Region string // of this process; empty: unknown
	// RegionOf returns the region of the process on a VM; empty: unknown. It must not be nil
	// unless Region is empty.
	RegionOf func(vm string) string
	// PeersIn returns the addresses of the other processes in the regions.
	PeersIn func(regions residency.Regions) []string
}

func (p *Places) allows(regions residency.Regions) bool { return regions.Allows(p.Region) }

// regionOf returns the region of the process on a VM.
func (p *Places) regionOf(vm string) string {
	if p.RegionOf == nil {
		return ""
	}
	return p.RegionOf(vm)
}

// peersIn returns the addresses of the other processes in the regions.
func (p *Places) peersIn(regions residency.Regions) []string {
	if p.PeersIn == nil {
		return nil
	}
	return p.PeersIn(regions)
}

// SetPlaces sets where processes are. It must be called before the first use.
func (x *Index) SetPlaces(p Places) { x.places, x.Texts.places = p, p }

// SetTable sets the function that returns the configuration in force, whose allowed regions jobs get
// at their submission. It must be called before the first use.
func (s *Service) SetTable(current func() *table.Table) { s.table = current }

// RegionsOfTopic returns the regions whose processes may see the records of a topic of the store.
func RegionsOfTopic(topic string) residency.Regions {
	key, found := strings.CutPrefix(topic, textTopic+".")
	if !found {
		return residency.Regions{}
	}
	return residency.ParseKey(key)
}

// textPart is a partition of a texts' stream.
type textPart struct {
	regions string // as in jobs.TextRef
	part    int
}

func textPartOf(ref *jobs.TextRef) textPart { return textPart{ref.Regions, ref.Partition} }

// holders returns the regions whose processes may read the texts at ref.
func holders(ref *jobs.TextRef) residency.Regions { return residency.ParseKey(ref.Regions) }

// holdersOf returns the regions in which a job is owned, and its texts are read, if it may be
// served in the given ones.
func holdersOf(job string, regions residency.Regions) residency.Regions {
	names := regions.Names()
	if len(names) <= maxHoldingRegions {
		return regions
	}
	item := route.Hash(job)
	slices.SortFunc(names, func(a, b string) int {
		if route.Rendezvous(item, route.Hash(a)) > route.Rendezvous(item, route.Hash(b)) {
			return -1
		}
		return 1
	})
	return residency.Only(names[:maxHoldingRegions])
}

// restrict sets the allowed regions of a job that is being submitted, by the configuration in force. An owner holds all of a job's
// items with their scores' requests, so that the regions of all their routes bind; those of scores
// do not if there would be no region left, because a score is a request of its own, which its owner
// sends to its own regions. It returns an error if there is no region in which the items may be served.
func (s *Service) restrict(spec *jobs.Spec, items []jobs.Item) *kinds.Error {
	t := s.table()
	if t == nil || !t.HasRegions() {
		return nil
	}
	regions := t.RegionsOf(spec.Host, spec.Path, spec.Organisation)
	for i := range items {
		regions = regions.And(t.RegionsOf(items[i].Host, items[i].Path, ""))
	}
	if regions.AllowsNone() {
		s.zlog.Info("No region is allowed for a batch job.", zap.String("job", spec.ID), zap.String("organisation", spec.Organisation),
			zap.Stringer("route_regions", t.RegionsOf(spec.Host, spec.Path, "")), zap.Stringer("organisation_regions", t.Organisations.RegionsOf(spec.Organisation)), zap.Uint64("config", t.Version))
		jobsWithoutRegion.Add(1)
		return kinds.Hold().Refuse(kinds.NoServer, "no region is allowed for batch job %q: the regions of its routes and of its organisation have none in common", spec.ID)
	}
	withScores := regions
	for i := range items {
		if score := items[i].Score; score != nil {
			withScores = withScores.And(t.RegionsOf(score.Host, score.Path, ""))
		}
	}
	if !withScores.AllowsNone() {
		regions = withScores
	}
	spec.Regions, spec.OrganisationRegions = regions.Names(), t.Organisations.RegionsOf(spec.Organisation).Names()
	return nil
}

// regionsNow returns the regions in which a request of a job may be served by the current
// configuration and by the regions as of the job's submission.
func regionsNow(t *table.Table, asOfSubmission []string, host, path, organisation string) residency.Regions {
	if t == nil {
		return residency.Only(asOfSubmission)
	}
	return residency.Binding(residency.Only(asOfSubmission), t.RegionsOf(host, path, organisation))
}

// ownerRegions returns the regions whose processes may own a job: those in which its texts may be
// read, and those of the current configuration. If there are none, its texts' regions bind: texts
// are in a stream with those of other jobs, which processes elsewhere must not read.
func (r *Runner) ownerRegions(j *jobs.Job) residency.Regions {
	return ownerRegions(r.view.Current().Table, j)
}

func ownerRegions(t *table.Table, j *jobs.Job) residency.Regions {
	holding := holders(&j.ItemsRef)
	if t == nil {
		return holding
	}
	return residency.Binding(t.RegionsOf(j.Host, j.Path, j.Organisation), holding)
}

// mayOwn reports whether this process may own a job.
func (r *Runner) mayOwn(j *jobs.Job) bool { return r.index.places.allows(r.ownerRegions(j)) }
