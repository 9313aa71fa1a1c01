package site

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// setting is one line of a settings file. Its name has the form "section.key".
type setting struct{ name, value string }

// renderINI returns the settings as INI, with the sections in the order of their
// first setting.
func renderINI(list []setting) string {
	var order []string
	bySection := map[string][]string{}
	for _, s := range list {
		section, key, _ := strings.Cut(s.name, ".")
		if bySection[section] == nil {
			order = append(order, section)
		}
		bySection[section] = append(bySection[section], key+" = "+s.value)
	}
	var b strings.Builder
	for _, section := range order {
		fmt.Fprintf(&b, "[%s]\n%s\n\n", section, strings.Join(bySection[section], "\n"))
	}
	return b.String()
}

// waveSlotLength is the agents' default time slot for a wave of weight swaps, in
// model time.
const waveSlotLength = 4 * time.Second

// agentSettings returns the settings of an agent in addition to the common ones.
// Durations in model time are converted with the site's time scale.
func (b *builder) agentSettings(role, serves, backend string) []setting {
	list := []setting{
		{"backend.kind", "service"}, {"backend.serves", serves},
		{"backend.addr", strings.TrimPrefix(backend, "http://")},
	}
	if role != RoleEngine {
		return list
	}
	list[0].value = "engine"
	return append(list,
		setting{"backend.slots", fmt.Sprint(b.site.Engine.Slots)},
		setting{"backend.fencing", b.site.Engine.Fencing},
		setting{"weights.slot", b.scaled(waveSlotLength).String()})
}

// scaled converts model time to wall time.
func (b *builder) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.options.TimeScale)
}

// policySwitches names the boolean settings that disable mechanisms, by the role
// of the process.
type policySwitches struct{ entry, agent []string }

// PolicyHints is "dandelionsill" with trainers that send expected lengths, which
// they know from earlier samples of their prompts.
const PolicyHints = "hints"

// policies are the configurations that the benchmark compares. "dandelionsill" has
// all mechanisms enabled and "baseline" none; each of the "no-…" policies disables
// one mechanism.
var policies = map[string]policySwitches{
	"dandelionsill":    {},
	PolicyHints:        {},
	"no-hedge":         {entry: []string{"steps.no_hedge"}},
	"no-move":          {entry: []string{"steps.no_move"}},
	"no-affinity":      {entry: []string{"steps.no_affinity"}},
	"no-longest-first": {entry: []string{"steps.no_longest_first"}},
	"no-late-binding":  {entry: []string{"steps.no_late_binding"}},
	"no-resume":        {entry: []string{"steps.no_resume"}},
	"no-waves":         {agent: []string{"weights.no_waves"}},
	"baseline":         {entry: []string{"steps.baseline"}, agent: []string{"weights.no_waves"}},
}

// CheckPolicy returns an error that lists the known policies if name is unknown.
func CheckPolicy(name string) error {
	if _, ok := policies[name]; ok {
		return nil
	}
	return fmt.Errorf("policy %q: want one of %s", name, strings.Join(slices.Sorted(maps.Keys(policies)), ", "))
}

// policySettings returns the settings of a policy for a process with the given
// role; engine reports whether it is an engine's agent.
func policySettings(role string, engine bool, policy string) []setting {
	names := policies[policy].entry
	if role == RoleAgent {
		names = policies[policy].agent
	}
	var settings []setting
	for _, name := range names {
		if role == RoleEntry || engine {
			settings = append(settings, setting{name, "true"})
		}
	}
	return settings
}
