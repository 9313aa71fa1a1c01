package fanout

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/fanout"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/platform"
)

const (
	linkTime = 40 * time.Millisecond // round trip between the regions
	// upToDate is the age up to which a process counts as up to date, as in gateway/jobs.
	upToDate = 1200 * time.Millisecond
)

// linkLog is the log as processes of one region reach it.
type linkLog struct {
	*modelLog
	roundTrip time.Duration
	cut       atomic.Bool
	reads     atomic.Int64
}

func (l *linkLog) cross(ctx context.Context, read func() (platform.Page, error)) (platform.Page, error) {
	l.reads.Add(1)
	time.Sleep(l.roundTrip)
	if l.cut.Load() {
		time.Sleep(logTimeout)
		return platform.Page{}, platform.ErrLogUnavailable
	}
	page, err := read()
	if l.cut.Load() {
		return platform.Page{}, platform.ErrLogUnavailable
	}
	return page, err
}

func (l *linkLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (platform.Page, error) {
	return l.cross(ctx, func() (platform.Page, error) { return l.modelLog.Read(ctx, stream, from, max, wait) })
}

func (l *linkLog) ReadNewest(ctx context.Context, stream string) (platform.Page, error) {
	return l.cross(ctx, func() (platform.Page, error) { return l.modelLog.ReadNewest(ctx, stream) })
}

// regionFleet is a deployment of two regions of three failure domains each, in virtual time: 30
// gateways and 32 agents, half of them far from the log, which 60 servers write to.
type regionFleet struct {
	near, far  *linkLog
	processes  []*modelProcess
	byAddr     map[string]*modelProcess
	mu         sync.Mutex
	silent     map[string]bool // addresses that give no answer
	stop       func()
	isInFar    map[*modelProcess]bool
	gatewayFar []*modelProcess
}

func (f *regionFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	silent := f.silent[r.URL.Host]
	f.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	answer := httptest.NewRecorder()
	f.byAddr[r.URL.Host].reader.ServeHTTP(answer, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

func startRegionFleet(regions *topology.Topology) *regionFleet {
	log := &modelLog{started: time.Now().Add(-time.Hour), servers: 60}
	f := &regionFleet{near: &linkLog{modelLog: log, roundTrip: time.Millisecond}, far: &linkLog{modelLog: log, roundTrip: linkTime},
		byAddr: map[string]*modelProcess{}, silent: map[string]bool{}, isInFar: map[*modelProcess]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	f.stop = func() { cancel(); loops.Wait() }
	start := time.Now()
	var gateways []fanout.Member
	for i := range 62 {
		region, store := "near", f.near
		if i%2 == 1 {
			region, store = "far", f.far
		}
		self := fanout.Member{VM: fmt.Sprintf("vm-%d", i), FailureDomain: fmt.Sprintf("%s-%d", region, i%3), Small: i%5 == 0}
		p := &modelProcess{}
		f.processes = append(f.processes, p)
		f.isInFar[p] = region == "far"
		if i < 30 {
			self.Addr = fmt.Sprintf("vm-%d:1", i)
			f.byAddr[self.Addr] = p
			gateways = append(gateways, self)
			if f.isInFar[p] {
				f.gatewayFar = append(f.gatewayFar, p)
			}
		}
		p.reader = NewReader(Config{
			Self: self, Log: store, Gateways: p, Streams: []Stream{{Name: testStream, KeyOf: splitPair, IsRepeat: isSameWord}},
			Now: func() time.Duration { return time.Since(start) + time.Second }, Logger: zap.NewNop(), Transport: f,
			Regions: regions, RoundTrip: func() time.Duration { return store.roundTrip },
		})
	}
	for _, p := range f.processes {
		for _, g := range gateways {
			if g.VM != p.reader.cfg.Self.VM {
				p.members = append(p.members, g)
			}
		}
		loops.Go(func() { p.follow(ctx) })
	}
	return f
}

func twoRegions() *topology.Topology {
	regions := map[string]string{}
	for _, region := range []string{"near", "far"} {
		for i := range 3 {
			regions[fmt.Sprintf("%s-%d", region, i)] = region
		}
	}
	return topology.New(regions)
}

// maxAge returns the greatest age of what far or near processes have read.
func (f *regionFleet) maxAge(far bool) time.Duration {
	age := time.Duration(0)
	for _, p := range f.processes {
		if f.isInFar[p] == far && !f.silent[p.reader.cfg.Self.Addr] {
			age = max(age, p.readAge())
		}
	}
	return age
}

func (f *regionFleet) roots() []*modelProcess {
	var roots []*modelProcess
	for _, p := range f.processes {
		if f.isInFar[p] && p.reader.Mode() == ModeRoot {
			roots = append(roots, p)
		}
	}
	return roots
}

// Guards against streams that cross the link once for each process of a far region, and against
// processes near the log that depend on others for nothing.
func TestStreamCrossesLinkOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startRegionFleet(twoRegions())
		defer f.stop()
		time.Sleep(5 * time.Second)
		require.Len(t, f.roots(), 1)
		near, far := f.near.reads.Load(), f.far.reads.Load()
		time.Sleep(10 * time.Second)
		near, far = f.near.reads.Load()-near, f.far.reads.Load()-far
		require.Less(t, 20*far, near, "31 processes of either region")
		require.Less(t, f.maxAge(true), upToDate)
		for _, p := range f.processes {
			if !f.isInFar[p] {
				require.Equal(t, ModeAll, p.reader.Mode())
			}
		}
	})
}

// Guards against reads through others in a deployment with one region, however far it seems.
func TestOneRegionReadsLogDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		regions := map[string]string{}
		for domain := range map[string]bool{"near-0": true, "near-1": true, "near-2": true, "far-0": true, "far-1": true, "far-2": true} {
			regions[domain] = "only"
		}
		f := startRegionFleet(topology.New(regions))
		defer f.stop()
		time.Sleep(time.Second)
		for _, p := range f.processes {
			require.Equal(t, ModeAll, p.reader.Mode())
		}
	})
}

// Guards against a region that hears nothing because its root is silent, under the load of all its
// processes: the next root serves them within half a second of being asked.
func TestSecondRootServesRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startRegionFleet(twoRegions())
		defer f.stop()
		time.Sleep(5 * time.Second)
		root := f.roots()[0]
		f.mu.Lock()
		f.silent[root.reader.cfg.Self.Addr] = true
		f.mu.Unlock()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			require.Less(t, f.maxAge(true), 2*time.Second)
		}
		require.Less(t, f.maxAge(true), upToDate)
		before := f.far.reads.Load()
		time.Sleep(time.Second)
		require.Less(t, f.far.reads.Load()-before, int64(80), "the silent root and one other read")
	})
}

// Guards against stale reads that are served as fresh while the link between the regions is cut
// for a minute, and against a region that does not follow the log soon after.
func TestRegionThatIsCutOffServesNothingStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startRegionFleet(twoRegions())
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.far.cut.Store(true)
		cutAt := time.Now()
		time.Sleep(2 * time.Second)
		reads := f.far.reads.Load()
		for range 60 {
			time.Sleep(time.Second)
			require.Less(t, f.maxAge(false), upToDate)
			for _, p := range f.processes {
				require.False(t, f.isInFar[p] && p.readAge() < time.Since(cutAt)-time.Second, "%s counts as up to date", p.reader.cfg.Self.VM)
			}
		}
		require.Less(t, f.far.reads.Load()-reads, int64(15*60), "probes of the cut link by 15 gateways")
		f.far.cut.Store(false)
		time.Sleep(2500 * time.Millisecond)
		require.Less(t, f.maxAge(true), upToDate)
	})
}
