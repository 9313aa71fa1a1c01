package site

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// setting is one line of a settings file: "section.key" and its value.
type setting struct{ name, value string }

// renderINI writes settings as INI, section by section in order of appearance.
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

// waveSlotLength is the agents' default for a wave of weight swaps, in model time.
const waveSlotLength = 4 * time.Second

// agentSettings are the settings of an agent beyond the common ones. What is
// measured in the engine's time goes with its time scale.
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

// scaled turns model time into wall time.
func (b *builder) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.options.TimeScale)
}

// policySwitches are settings that turn mechanisms off, by role of process.
type policySwitches struct{ entry, agent []string }

// PolicyHints is "dandelionsill" with trainers that know earlier lengths of
// their prompts.
const PolicyHints = "hints"

// policies are what the bench compares. "dandelionsill" has everything on,
// "baseline" everything off, the others one mechanism off.
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

// CheckPolicy tells whether a policy is known.
func CheckPolicy(name string) error {
	if _, ok := policies[name]; ok {
		return nil
	}
	return fmt.Errorf("policy %q: want one of %s", name, strings.Join(slices.Sorted(maps.Keys(policies)), ", "))
}

// policySettings are a policy's settings of a process.
func policySettings(role string, engine bool, policy string) []setting {
	names := policies[policy].entry
	if role == RoleAgent {
		names = policies[policy].agent
	}
	var list []setting
	for _, name := range names {
		if role == RoleEntry || engine {
			list = append(list, setting{name, "true"})
		}
	}
	return list
}
