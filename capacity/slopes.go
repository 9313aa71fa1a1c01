package capacity

// Measured holds the slopes for the sums in docs/CAPACITY.md, which names the runs that
// gave them. The processor times were taken on a busy machine.
var Measured = Slopes{
	Base: map[Role]Cost{
		// From BenchmarkProcess: resident memory without the watches.
		Entry:        {Memory: 26.8e6},
		EngineAgent:  {CPU: 0.0016, Memory: 25.4e6},
		ServiceAgent: {CPU: 0.0003, Memory: 23.9e6},
	},
	Idle:        Cost{CPU: 0.0011, BytesPerSecond: 634 + 29},
	Change:      Cost{CPU: 0.020, BytesPerSecond: 73e3 + 6.2e3},
	PollBytes:   289,
	RecordBytes: 536,
	VMList:      Cost{CPU: 0.0054, BytesPerSecond: 233726},
	Watch: map[int]Cost{
		46:  {CPU: 0.0061, Memory: 46 * 69e3, BytesPerSecond: 5864},
		146: {CPU: 0.0107, Memory: 146 * 64e3, BytesPerSecond: 6464},
		342: {CPU: 0.0159, Memory: 342 * 62e3, BytesPerSecond: 12720},
	},
	WatchedBase: Cost{CPU: 0.00067},
	Watched:     Cost{CPU: 0.000086, Memory: 97e3},
	StepPass:    Cost{CPU: 0.020, Memory: StepSamples * 286},
	Claims:      Cost{CPU: 0.0022, Memory: 15 * 60 * 190 * 42, BytesPerSecond: 18170},
	Ask:         Cost{CPU: 0.00105, BytesPerSecond: 1100},
}
