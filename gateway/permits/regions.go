package permits

import (
	"cmp"
	"slices"
	"time"

	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
)

// noServerRetry is the advice to a caller whose request no region may serve now: servers come and
// go within seconds.
const noServerRetry = 250 * time.Millisecond

// regionalServers is a service's list of servers, split by region. It is immutable.
type regionalServers struct {
	list     []members.Server
	byRegion map[string][]members.Server
}

// region returns the region of this process; empty: unknown.
func (c *Client) region() string { return c.cfg.Topology.RegionOf(c.cfg.FailureDomain) }

// isByRegion reports whether each region's servers have brokers of their own.
func (c *Client) isByRegion() bool { return c.cfg.ByRegion && c.cfg.Topology.HasSeveralRegions() }

// servers returns the servers of a service in a region, or all if region is empty.
func (c *Client) servers(service, region string) []members.Server {
	if region == "" {
		return c.cfg.Servers(service)
	}
	return c.split(service).byRegion[region]
}

// split returns the servers of a service by region. It is derived once for each list.
func (c *Client) split(service string) regionalServers {
	list := c.cfg.Servers(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.byRegion[service]; ok && isSameList(known.list, list) {
		return known
	}
	split := regionalServers{list: list, byRegion: map[string][]members.Server{}}
	for _, s := range list {
		region := homeOf(s, c.cfg.Topology)
		split.byRegion[region] = append(split.byRegion[region], s)
	}
	c.byRegion[service] = split
	return split
}

// regions returns the regions whose brokers may grant a permit for the ask, the nearest first.
func (c *Client) regions(service string, ask decide.Ask) []string {
	split := c.split(service)
	var regions []string
	for _, region := range c.cfg.Topology.Regions() {
		takesWork := slices.ContainsFunc(split.byRegion[region], func(s members.Server) bool {
			return s.TakesWork() && ask.Regions.Allows(s.Region)
		})
		if takesWork {
			regions = append(regions, region)
		}
	}
	if len(regions) == 0 && !ask.Regions.IsRestricted() {
		return []string{cmp.Or(c.region(), c.cfg.Topology.Regions()[0])} // its broker counts the demand
	}
	if len(regions) > 1 {
		now := c.cfg.Now()
		slices.SortFunc(regions, func(a, b string) int { return c.cfg.Ways.NearestFirst(now, a, b) })
	}
	return regions
}

// keys returns all shards of a service.
func (c *Client) keys(service string) []shardKey {
	regions := []string{""}
	if c.isByRegion() {
		regions = c.cfg.Topology.Regions()
	}
	var keys []shardKey
	for _, region := range regions {
		servers := c.servers(service, region)
		if region != "" && len(servers) == 0 {
			continue
		}
		shards := decide.Shards(len(servers))
		for shard := range shards {
			keys = append(keys, shardKey{service: service, region: region, shard: shard, shards: shards})
		}
	}
	return keys
}

// noRegion returns the refusal of an ask that no region may serve now.
func noRegion(ask decide.Ask) *Refusal {
	return &Refusal{Kind: decide.NoServer, RetryAfter: noServerRetry, Reason: "no server of the allowed regions takes work: " + ask.Regions.String()}
}
