// Package straggle schedules the samples of one training step: it decides
// which sample runs on which server and speeds up the ones that would finish
// last. It does no I/O and reads no clock: times are durations since the start
// of the step.
//
// The trainer idles until the last sample of its step has finished. To keep
// the step's makespan near the physical limit, the plan binds samples late
// (only to free slots), starts those with the longest predicted length first,
// runs the samples of a group on a server with a warm prefix, and at the tail
// moves or hedges the streams that would end last.
package straggle

import "time"

// Defaults of Config and fixed limits of a plan.
const (
	defaultMinStallTimeout   = 300 * time.Millisecond
	defaultStallFactor       = 10
	defaultFirstChunkTimeout = 2 * time.Second
	defaultMinGainRatio      = 0.25
	defaultMinGain           = 100 * time.Millisecond
	moveOverhead             = 50 * time.Millisecond
	maxMoves                 = 3
	exclusionTime            = 2 * time.Second
	measureInterval          = 25 * time.Millisecond // minimum time between measurements
	measureIntervalPerRun    = 70 * time.Microsecond // a measurement visits every run
	swappingStallFactor      = 5
	hedgeSilenceRatio        = 0.4  // share of the stall timeout after which a silent stream is hedged
	maxHedgeTimeRatio        = 0.6  // a hedge must be predicted to end within this share of the remaining time
	slowServerSpeed          = 0.6  // relative speed below which a server gets the shortest samples
	similarRateFactor        = 1.15 // rates within this factor of the best count as equal
	maxRunsPerSample         = 2
	maxExclusionDoublings    = 4
	maxStallDoublings        = 6
	unknownLengthDivisor     = 2
)

// Policy disables single mechanisms so that their effect can be measured.
type Policy struct {
	// Baseline starts all samples at once, round robin, without any other
	// mechanism.
	Baseline       bool
	NoHedge        bool
	NoMove         bool
	NoAffinity     bool
	NoLongestFirst bool
	NoLateBinding  bool
}

// Config configures a plan. MinStallTimeout and the fields after it take
// defaults if they are zero.
type Config struct {
	Policy
	// Mixed allows one sample to span several weight versions, so that a stream
	// can be resumed on any server and not only on one with the same version.
	Mixed bool
	// PreferNew prefers, among servers that would finish at about the same
	// time, those with the newest weights to those with a warm prefix.
	PreferNew bool
	// HedgePercent limits the tokens of second copies, in percent of the step's
	// tokens.
	HedgePercent float64
	// MinStallTimeout is the shortest time without a chunk that counts as a
	// stall. Where StallFactor times the usual time between chunks is longer,
	// that is the limit.
	MinStallTimeout time.Duration
	StallFactor     float64
	// FirstChunkTimeout is how long a stream may wait for its first chunk.
	FirstChunkTimeout time.Duration
	// MinGainRatio is the share of its remaining time that a move must save,
	// MinGain the minimum time that it must save.
	MinGainRatio float64
	MinGain      time.Duration
}

func (c Config) withDefaults() Config {
	if c.MinStallTimeout == 0 {
		c.MinStallTimeout = defaultMinStallTimeout
	}
	if c.StallFactor == 0 {
		c.StallFactor = defaultStallFactor
	}
	if c.FirstChunkTimeout == 0 {
		c.FirstChunkTimeout = defaultFirstChunkTimeout
	}
	if c.MinGainRatio == 0 {
		c.MinGainRatio = defaultMinGainRatio
	}
	if c.MinGain == 0 {
		c.MinGain = defaultMinGain
	}
	return c
}

// Group is a prompt and the samples requested for it.
type Group struct {
	Samples   int
	MaxTokens int
	// Hint is the trainer's estimate of a sample's length in tokens, 0 if it
	// has none.
	Hint int
	// Prefix is a hash of the prompt, shared by all samples of the group.
	Prefix uint64
}

// Server is the state of one engine, as the caller of Next knows it.
type Server struct {
	Name string
	// Free is the number of streams that may be started there now.
	Free int
	// SlotsFull is set if no slot is free, so that Free counts places in the
	// agent's queue.
	SlotsFull bool
	// Running is the number of streams running there, including those of other
	// steps.
	Running int
	// StreamRate is the reported rate of one stream in tokens/s, 0 if unknown.
	StreamRate float64
	// Version is the weight version that the engine serves.
	Version uint64
	// Leaving is set while the server is being taken out of service: its
	// streams move to other servers, it gets no new ones, and Free is ignored.
	Leaving bool
	// Swapping is set during a weight swap, in which streams may pause.
	Swapping bool
}

// RunID identifies one stream of one sample.
type RunID uint64

// Kind is the kind of an Action.
type Kind uint8

const (
	// Start starts Run for Sample on Server.
	Start Kind = iota
	// Hedge starts Run on Server as a second copy of From, which continues.
	Hedge
	// Move starts Run on Server, which resumes from the tokens of From. From is
	// cancelled once Run generates tokens.
	Move
	// Cancel stops Run, which the plan has already abandoned.
	Cancel
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"start", "hedge", "move", "cancel"}[k]
}

// ReasonNoProgress is the Reason of a Cancel whose stream stopped sending
// chunks.
const ReasonNoProgress = "no progress"

// Action is one decision of the plan, to be carried out by the caller.
type Action struct {
	Kind   Kind
	Run    RunID
	Sample int
	Server string
	// From is the run that a Hedge or a Move copies; 0 for other kinds.
	From RunID
	// Reason is a short explanation for the decision record.
	Reason string
}

// Stats counts the samples, runs and tokens of a plan.
type Stats struct {
	Queued, Running, Finished int
	Runs, Hedges, Moves       int
	Stalls                    int
	// Tokens counts tokens of finished samples, Wasted tokens that were
	// generated and not used, and HedgeWasted the part of Wasted that counts
	// against the hedge budget.
	Tokens, Wasted, HedgeWasted int
}
