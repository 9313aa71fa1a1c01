package capacity

import (
	"fmt"
	"strings"

	"dandelionsill.org/decide/subset"
	"dandelionsill.org/decide/waves"
	"dandelionsill.org/platform"
)

// The numbers of the full size, as required by the users.
const (
	Entries           = 360
	Servers           = 1500
	Processes         = Entries + Servers
	Accelerators      = 2900
	Regions           = 7
	Domains           = 24
	Trainers          = 24
	StepSamples       = 2048
	StepSeconds       = 240
	RequestsPerSecond = 3800.0
	TokensPerSecond   = 1.6e6
	ChangesPerDay     = 4300.0
	ReplacedPerDay    = 214.0 // 200 restarted or replaced and 14 failed
	SecondsPerDay     = 86400.0
)

// The budgets of one process for its control costs.
const (
	BudgetCPU            = 0.03     // of a core
	BudgetMemory         = 64e6     // of memory
	BudgetBytesPerSecond = 17 * 1e3 // both directions together
	keyedRequestShare    = 0.05     // of the requests carry an idempotency key (docs/DESIGN.md)
)

// failureDomain returns the failure domain of member i; members are spread evenly.
func failureDomain(i int) string { return fmt.Sprintf("domain-%02d", i%Domains) }

// EntryMembers returns n entries as input of the subset choice.
func EntryMembers(n int) []subset.Member {
	all := make([]subset.Member, n)
	for i := range all {
		all[i] = subset.Member{Name: fmt.Sprintf("entry-%04d", i), FailureDomain: failureDomain(i)}
	}
	return all
}

// AgentMembers returns n agents that are spread over the given number of pools.
func AgentMembers(n, pools int) []subset.Member {
	all := make([]subset.Member, n)
	for i := range all {
		all[i] = subset.Member{Name: agentName(i), FailureDomain: failureDomain(i), Pool: fmt.Sprintf("model/m%d", i/Domains%pools)}
	}
	return all
}

func agentName(i int) string { return fmt.Sprintf("agent-%04d", i) }

// WaveServers returns n servers of one model as input of the rollout plan.
func WaveServers(n int) []waves.Server {
	all := make([]waves.Server, n)
	for i := range all {
		all[i] = waves.Server{Name: agentName(i), FailureDomain: failureDomain(i)}
	}
	return all
}

// VMs returns a VM list with the given numbers of entries and agents.
func VMs(entries, agents int) []platform.VM {
	var all []platform.VM
	add := func(role, name string, i int) {
		all = append(all, platform.VM{
			Name: name, Role: role, Addr: fmt.Sprintf("10.%d.%d.%d:7100", i%Regions, i/250, i%250+1),
			Region: fmt.Sprintf("region-%d", i%Regions), FailureDomain: failureDomain(i), State: platform.VMLive,
		})
	}
	for i := range entries {
		add("entry", fmt.Sprintf("entry-%04d", i), i)
	}
	for i := range agents {
		add("agent", agentName(i), i)
	}
	return all
}

// ManifestText returns the text of a manifest with the given numbers of models,
// services, trainers and callers.
func ManifestText(models, services, trainers, callers int) []byte {
	var b strings.Builder
	b.WriteString("[fleet]\nname = fleet\nweigh = idle\n")
	for i := range models {
		fmt.Fprintf(&b, "\n[model model-%d]\nmax_tokens = 16384\n", i)
	}
	for i := range services {
		fmt.Fprintf(&b, "\n[service service-%d]\nconcurrency = 32\n", i)
		fmt.Fprintf(&b, "\n[route service-%d.read]\nmethods = GET, HEAD\nrepeat = always\n", i)
		fmt.Fprintf(&b, "\n[route service-%d.write]\nrepeat = never\nrequire_key = true\n", i)
	}
	for i := range trainers {
		fmt.Fprintf(&b, "\n[trainer trainer-%d]\ntoken_sha256 = %064x\nmodel = model-%d\nstaleness_bound = 2\nmixed = true\n", i, i+1, i%models)
	}
	for i := range callers {
		fmt.Fprintf(&b, "\n[caller caller-%d]\ntoken_sha256 = %064x\nallow = model-%d, service-%d\nrate = 100\nburst = 50\n", i, 1<<20+i, i%models, i%services)
	}
	return []byte(b.String())
}
