package manifest

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Defaults that hang on what the operators weigh more. Under WeighIdle a
// running stream may finish before its engine swaps weights (a cancelled
// sample is work a step waits for again); under WeighStaleness the swap goes
// first. Both stay under the 15 s in which new weights must be on all servers.
const (
	swapGraceIdle      = 8 * time.Second
	swapGraceStaleness = time.Second
)

const (
	maxPriority = 100
	maxWeight   = 1000
)

func (p *parser) decode() *Manifest {
	m := &Manifest{
		Models:   map[string]Model{},
		Services: map[string]Service{},
		Trainers: map[string]Trainer{},
		Callers:  map[string]Caller{},
		Leaving:  map[string]bool{},
	}
	p.decodeFleet(m) // first: other defaults hang on it
	for _, s := range p.sections {
		switch s.kind {
		case "model":
			m.Models[s.name] = s.model(m.Fleet.Weigh)
		case "service":
			m.Services[s.name] = s.service()
		case "trainer":
			m.Trainers[s.name] = s.trainer()
		case "caller":
			m.Callers[s.name] = s.caller()
		case "leaving":
			for _, vm := range s.list("servers", dottedForm) {
				m.Leaving[vm] = true
			}
		}
	}
	p.decodeRoutes(m)
	p.crossCheck(m)
	return m
}

func (p *parser) decodeFleet(m *Manifest) {
	i := slices.IndexFunc(p.sections, func(s *section) bool { return s.kind == "fleet" })
	if i < 0 {
		p.report(Problem{Section: "fleet", Message: "the section is missing"})
		return
	}
	s := p.sections[i]
	m.Fleet = s.fleet()
	if 2*m.Fleet.KeyWindow >= m.Fleet.LogRetention {
		s.fail("key_window", "", "%s is not less than half of log_retention (%s): a claim must outlive its key", m.Fleet.KeyWindow, m.Fleet.LogRetention)
	}
	if 2*m.Fleet.ClockSkew >= m.Fleet.KeyWindow {
		s.fail("clock_skew", "", "%s is not less than half of key_window (%s): fresh keys would count as old", m.Fleet.ClockSkew, m.Fleet.KeyWindow)
	}
}

func (s *section) fleet() Fleet {
	f := Fleet{
		Weigh:          Weigh(s.oneOf("weigh", string(WeighIdle), string(WeighIdle), string(WeighStaleness))),
		ClockSkew:      s.duration("clock_skew", 500*time.Millisecond, 0, time.Minute),
		KeyWindow:      s.duration("key_window", 15*time.Minute, time.Second, 7*24*time.Hour),
		LogRetention:   s.duration("log_retention", 24*time.Hour, 10*time.Second, 366*24*time.Hour),
		AppendsPerS:    s.number("appends_per_s", 300, 1, 1e6),
		StoreBytesPS:   float64(s.bytes("store_bytes_per_s", 100*miB, kiB, 1<<50)),
		MaxBodyBytes:   s.bytes("max_body_bytes", miB, kiB, giB),
		DefaultTimeout: s.duration("default_timeout", 30*time.Second, 10*time.Millisecond, time.Hour),
		OperatorSHA256: s.tokenHashes("operator_sha256"),
	}
	s.require("name")
	f.Name = s.text("name")
	if f.Name != "" && !nameForm.MatchString(f.Name) {
		s.fail("name", "", "%q: a name has up to 63 letters, digits, - and _", f.Name)
	}
	return f
}

func (s *section) model(weigh Weigh) Model {
	grace := swapGraceIdle
	if weigh == WeighStaleness {
		grace = swapGraceStaleness
	}
	return Model{
		Name:      s.name,
		SwapGrace: s.duration("swap_grace", grace, 0, 10*time.Minute),
		MaxTokens: s.integer("max_tokens", 4096, 1, 1<<20),
	}
}

func (s *section) service() Service {
	return Service{
		Name:        s.name,
		Concurrency: s.integer("concurrency", 8, 1, 10_000),
		Queue:       s.integer("queue", 64, 0, 100_000),
		Timeout:     s.duration("timeout", 10*time.Second, 10*time.Millisecond, time.Hour),
	}
}

func (p *parser) decodeRoutes(m *Manifest) {
	for _, s := range p.sections {
		if s.kind != "route" {
			continue
		}
		service, name, _ := strings.Cut(s.name, ".")
		route := s.route(name)
		svc, ok := m.Services[service]
		if !ok {
			s.fail("", nearest(service, names(m.Services)), "there is no [service %s]", service)
			continue
		}
		if earlier, ok := hiddenBy(route, svc.Routes); ok {
			s.fail("", "", "is never reached: route %s before it matches all of it", earlier)
		}
		svc.Routes = append(svc.Routes, route)
		m.Services[service] = svc
	}
}

// hiddenBy names an earlier route that leaves nothing for a later one. Such a
// file most likely has its routes in the wrong order, and a write could pass
// under the terms of a read.
func hiddenBy(route Route, earlier []Route) (string, bool) {
	for _, e := range earlier {
		if e.covers(route.Prefix) && coversMethods(e.Methods, route.Methods) {
			return e.Name, true
		}
	}
	return "", false
}

func coversMethods(all, some []string) bool {
	if len(all) == 0 {
		return true
	}
	missing := func(method string) bool { return !slices.Contains(all, method) }
	return len(some) > 0 && !slices.ContainsFunc(some, missing)
}

func (s *section) route(name string) Route {
	r := Route{
		Name:       name,
		Methods:    s.list("methods", methodForm),
		Prefix:     s.path("prefix", "/"),
		Repeat:     Repeat(s.oneOf("repeat", string(RepeatNever), string(RepeatAlways), string(RepeatNever))),
		RequireKey: s.boolean("require_key", false),
		Priority:   s.integer("priority", 0, -maxPriority, maxPriority),
	}
	if r.RequireKey && r.Repeat != RepeatNever {
		s.fail("require_key", "", "needs repeat = never: a request that may be repeated needs no key")
	}
	return r
}

func (s *section) trainer() Trainer {
	t := Trainer{
		Name:         s.name,
		TokenSHA256:  s.tokenHashes("token_sha256"),
		AllowMixed:        s.boolean("mixed", false),
		ScorerPath:   s.path("scorer_path", "/score"),
		HedgePercent: s.number("hedge_percent", 5, 0, 100),
		Weight:       s.weight(),
		Priority:     s.integer("priority", 0, -maxPriority, maxPriority),
	}
	s.require("token_sha256")
	s.require("model")
	t.Model = s.text("model")
	t.Scorer = s.text("scorer")
	s.require("staleness_bound")
	t.StalenessBound = uint64(s.integer("staleness_bound", 0, 0, 1000))
	return t
}

func (s *section) weight() float64 { return s.number("weight", 1, 0.001, maxWeight) }

func (s *section) caller() Caller {
	c := Caller{
		Name:         s.name,
		TokenSHA256:  s.tokenHashes("token_sha256"),
		Allow:        map[string]bool{},
		Rate:         s.number("rate", 0, 0, 1e6),
		MaxConcurrent:   s.integer("concurrent", 0, 0, 1_000_000),
		Weight:       s.weight(),
		Priority:     s.integer("priority", 0, -maxPriority, maxPriority),
		RetryPercent: s.number("retry_percent", 10, 0, 100),
	}
	c.Burst = s.integer("burst", max(1, int(math.Ceil(c.Rate))), 1, 1_000_000)
	s.require("token_sha256")
	s.require("allow")
	for _, name := range s.list("allow", dottedForm) {
		c.Allow[name] = true
	}
	return c
}

// crossCheck finds what only two sections together get wrong.
func (p *parser) crossCheck(m *Manifest) {
	tokens := map[string]string{}
	for _, s := range p.sections {
		switch s.kind {
		case "fleet":
			s.checkTokens("operator_sha256", m.Fleet.OperatorSHA256, tokens)
		case "model":
			if _, ok := m.Services[s.name]; ok {
				s.fail("", "", "a service has the same name; allow lists could not tell them apart")
			}
		case "service":
			if len(m.Services[s.name].Routes) == 0 {
				s.fail("", "", "the service has no [route %s.NAME] and could not be called", s.name)
			}
		case "trainer":
			s.checkTrainer(m)
			s.checkTokens("token_sha256", m.Trainers[s.name].TokenSHA256, tokens)
		case "caller":
			s.checkCaller(m)
			s.checkTokens("token_sha256", m.Callers[s.name].TokenSHA256, tokens)
		}
	}
}

func (s *section) checkTokens(key, hashes string, seen map[string]string) {
	for _, hash := range splitHashes(hashes) {
		if owner, ok := seen[hash]; ok {
			s.fail(key, "", "is also that of [%s]; a token belongs to one", owner)
		}
		seen[hash] = s.title
	}
}

func (s *section) checkTrainer(m *Manifest) {
	t := m.Trainers[s.name]
	if _, ok := m.Models[t.Model]; !ok && t.Model != "" {
		s.fail("model", nearest(t.Model, names(m.Models)), "there is no [model %s]", t.Model)
	}
	if t.Scorer == "" {
		if _, ok := s.values["scorer_path"]; ok {
			s.fail("scorer_path", "", "needs a scorer")
		}
		return
	}
	scorer, ok := m.Services[t.Scorer]
	if !ok {
		s.fail("scorer", nearest(t.Scorer, names(m.Services)), "there is no [service %s]", t.Scorer)
		return
	}
	// A score whose answer is lost is asked for again.
	if r, ok := scorer.Match("POST", t.ScorerPath); !ok || r.Repeat != RepeatAlways {
		s.fail("scorer_path", "", "POST %s must match a route of service %s with repeat = always", t.ScorerPath, t.Scorer)
	}
}

func (s *section) checkCaller(m *Manifest) {
	if _, ok := m.Trainers[s.name]; ok {
		s.fail("", "", "a trainer has the same name; their fair shares would be one")
	}
	known := append(names(m.Models), names(m.Services)...)
	for _, name := range slices.Sorted(maps.Keys(m.Callers[s.name].Allow)) {
		if !slices.Contains(known, name) {
			s.fail("allow", nearest(name, known), "there is no model or service %q", name)
		}
	}
}

func names[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
