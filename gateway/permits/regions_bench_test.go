package permits

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/topology"
)

// BenchmarkRegions measures what the choice of a region adds to an ask.
func BenchmarkRegions(b *testing.B) {
	places, _ := topology.Parse([]string{"n0:near", "f0:far"})
	var servers []members.Server
	for _, region := range []string{"near", "far"} {
		for range 4 {
			servers = append(servers, members.Server{ID: region, Region: region, Slots: 6})
		}
	}
	c := NewClient(Config{
		FailureDomain: "n0", Topology: places, ByRegion: true, Ways: topology.NewWays("near"), Logger: zap.NewNop(),
		Servers: func(string) []members.Server { return servers }, Now: func() time.Duration { return time.Second },
	})
	b.ReportAllocs()
	for b.Loop() {
		if len(c.regions("echo", decide.Ask{})) != 2 {
			b.Fatal("regions are missing")
		}
	}
}
