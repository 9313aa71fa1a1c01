package capacity

import (
	"fmt"
	"strings"
)

// Cost is a cost for one process.
type Cost struct {
	CPU            float64 // share of a core
	Memory         float64 // bytes
	BytesPerSecond float64 // of connections, both directions together
}

func (c Cost) add(o Cost) Cost {
	return Cost{c.CPU + o.CPU, c.Memory + o.Memory, c.BytesPerSecond + o.BytesPerSecond}
}

func (c Cost) scale(n float64) Cost {
	return Cost{c.CPU * n, c.Memory * n, c.BytesPerSecond * n}
}

// Slopes are the measured costs per unit. The comment of each field names its
// benchmark, without the prefix Benchmark.
type Slopes struct {
	Base        map[Role]Cost // Process: without what the other fields count
	Idle        Cost          // Keeper: log reads and anti-entropy without changes
	Change      Cost          // Keeper: one change a second
	PollBytes   float64       // LogPoll: an empty read of the log
	RecordBytes float64       // LogRecord: a read of one small record
	VMList      Cost          // VMList: one answer a second
	Watch       map[int]Cost  // Watch: an entry under load, by number of watched agents
	WatchedBase Cost          // Watch: an agent's building of states under load
	Watched     Cost          // Watch: an agent's cost for each watcher, without bytes
	StepPass    Cost          // StepPass: one owned step
	Claims      Cost          // Once: a service with 190 claims/s
	Ask         Cost          // Ask: one call a second
}

// Role is a kind of process. Its value is a description.
type Role string

// The roles of processes at full size.
const (
	Entry        Role = "entry"
	EngineAgent  Role = "agent of an engine"
	ServiceAgent Role = "agent of a service"
)

// Scenario describes the process whose costs are summed up.
type Scenario struct {
	Watched  int // agents that an entry watches; their report interval depends on it
	Watchers int // entries that watch an agent
	Steps    int // steps that the entry owns
}

// Row is one part of a role's control cost.
type Row struct {
	Part, Mechanism string
	Cost
}

const (
	vmListInterval       = Processes * 150.0 / (5 << 10) // s, confsync.listBytesPerSecond
	stepsPollInterval    = 20.0                          // s, entry/steps.maxReadWait
	agentsReadInterval   = 30.0                          // s, agent/weights.claimReadInterval
	changesPerSecond     = ChangesPerDay / SecondsPerDay
	stepClaimsPerSecond  = Trainers / float64(StepSeconds)
	agentClaimsPerSecond = ReplacedPerDay / SecondsPerDay
)

// ControlCosts returns the rows of a role's control costs.
func ControlCosts(role Role, s Slopes, scenario Scenario) []Row {
	rows := []Row{
		{"process", "one small binary, no disk", s.Base[role]},
		{"control stream and peers, idle", "long poll; anti-entropy each 2 s", s.Idle},
		{"4,300 changes a day", "log first, then rumours 3 × 3", s.Change.scale(changesPerSecond)},
		{"VM list", "polled by byte budget", s.VMList.scale(1 / vmListInterval)},
	}
	switch role {
	case Entry:
		rows = append(rows,
			Row{fmt.Sprintf("Watch of %d agents", scenario.Watched), "subset; partial states at the entry's pace", s.Watch[scenario.Watched]},
			Row{"stream `steps`", "long poll", Cost{BytesPerSecond: s.PollBytes/stepsPollInterval + s.RecordBytes*stepClaimsPerSecond}})
		if scenario.Steps > 0 {
			rows = append(rows, Row{fmt.Sprintf("owned steps: %d", scenario.Steps), "passes over the plan", s.StepPass.scale(float64(scenario.Steps))})
		}
	default:
		watched := s.WatchedBase.add(s.Watched.scale(float64(scenario.Watchers)))
		watched.BytesPerSecond = s.Watch[scenario.Watched].BytesPerSecond / float64(scenario.Watched) * float64(scenario.Watchers)
		rows = append(rows, Row{fmt.Sprintf("Watch by %d entries", scenario.Watchers), "one state for all, what changed to each", watched})
	}
	switch role {
	case EngineAgent:
		rows = append(rows,
			Row{"stream `agents`", "read each 30 s", Cost{BytesPerSecond: s.PollBytes/agentsReadInterval + s.RecordBytes*agentClaimsPerSecond}},
			Row{"who serves the model", "each new row of the VM list is asked once", s.Ask.scale(agentClaimsPerSecond)})
	case ServiceAgent:
		rows = append(rows, Row{"keys, 190 claims/s in the service", "group commit, paced tail, fold by window", s.Claims})
	}
	return rows
}

// Total returns the sum of the rows' costs.
func Total(rows []Row) Cost {
	var sum Cost
	for _, r := range rows {
		sum = sum.add(r.Cost)
	}
	return sum
}

// Table formats rows and their total as a Markdown table. Values above the budget are
// bold.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| part | mechanism | % of a core | MB | KB/s |\n|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", r.Part, r.Mechanism, r.tableCells())
	}
	fmt.Fprintf(&b, "| **sum** | budget 3 / 64 / 17 | %s |\n", Total(rows).tableCells())
	return b.String()
}

func (c Cost) tableCells() string {
	return tableCell(c.CPU*100, BudgetCPU*100) + " | " + tableCell(c.Memory/1e6, BudgetMemory/1e6) + " | " + tableCell(c.BytesPerSecond/1e3, BudgetBytesPerSecond/1e3)
}

func tableCell(value, budget float64) string {
	switch {
	case value == 0:
		return "–"
	case value >= 100:
		return fmt.Sprintf("**%.0f**", value)
	case value > budget:
		return fmt.Sprintf("**%.3g**", value)
	case value < 0.01:
		return "<0.01"
	}
	return fmt.Sprintf("%.2g", value)
}

// ReaderGroup is the load of all readers of one stream of the log.
type ReaderGroup struct {
	Stream         string
	Readers        int
	ReadsPerSecond float64 // of all readers together
	BytesPerSecond float64
}

// LogReaders returns the load that readers put on the platform's log at full size.
// claimReadsPerSecond is the measured rate of all agents, serviceAgents in number, of
// one service with keyed writes.
func LogReaders(s Slopes, serviceAgents int, claimReadsPerSecond float64) []ReaderGroup {
	const controlPollInterval = 15.0 // s, confsync.pollWait
	control := ReaderGroup{Stream: "`control`", Readers: Processes, ReadsPerSecond: Processes * (1/controlPollInterval + changesPerSecond)}
	control.BytesPerSecond = Processes * (s.PollBytes/controlPollInterval + s.Change.BytesPerSecond*changesPerSecond)
	steps := ReaderGroup{Stream: "`steps`", Readers: Entries, ReadsPerSecond: Entries * (1/stepsPollInterval + stepClaimsPerSecond)}
	steps.BytesPerSecond = Entries * (s.PollBytes/stepsPollInterval + s.RecordBytes*stepClaimsPerSecond)
	agents := ReaderGroup{Stream: "`agents`", Readers: Servers, ReadsPerSecond: Servers / agentsReadInterval}
	agents.BytesPerSecond = Servers * (s.PollBytes/agentsReadInterval + s.RecordBytes*agentClaimsPerSecond)
	once := ReaderGroup{Stream: "`once/…`, 190 claims/s", Readers: serviceAgents, ReadsPerSecond: claimReadsPerSecond}
	once.BytesPerSecond = float64(serviceAgents) * s.Claims.BytesPerSecond
	return []ReaderGroup{control, steps, agents, once}
}

// LogTable formats readers as a Markdown table.
func LogTable(readers []ReaderGroup) string {
	var b strings.Builder
	b.WriteString("| stream | readers | reads/s | MB/s |\n|---|---|---|---|\n")
	for _, r := range readers {
		fmt.Fprintf(&b, "| %s | %d | %.0f | %.2f |\n", r.Stream, r.Readers, r.ReadsPerSecond, r.BytesPerSecond/1e6)
	}
	return b.String()
}

// MinStepSeconds returns the shortest time that a step can take when its owner uses
// only the given number of engines, even if no other step uses them.
func MinStepSeconds(engines int) float64 {
	step := TokensPerSecond / Trainers * StepSeconds
	return step / (float64(engines) * TokensPerSecond / Servers)
}

// MaxVersionBytes returns the size of the largest weight version that all servers can
// have within limit seconds: the seeds share the store's rate, a tree of three hops
// with four children each follows, and then three waves of swaps of one second.
func MaxVersionBytes(limit, storeBytesPerSecond, linkBytesPerSecond float64) float64 {
	const swaps, hops, fanOut = 2*1.25 + 1, 3, 4
	return (limit - swaps) / (Domains/storeBytesPerSecond + hops*fanOut/linkBytesPerSecond)
}

// MaxKeyWindow returns the longest key window, in seconds, whose claims fit into the
// memory.
func MaxKeyWindow(memory, perClaim, claimsPerSecond float64) float64 {
	return memory / perClaim / claimsPerSecond
}
