// Package straggle decides which sample of a step runs where, and what is
// done about the last ones. It does no I/O and reads no clock: times are
// durations since the step began.
//
// A step's makespan is what idles its trainer. The plan keeps it near the
// physical limit by binding samples late (only free slots are filled), the
// longest predicted sample first, siblings on one warm prefix, and at the
// tail by moving or hedging the streams that would end last.
package straggle

import "time"

// Defaults of Config.
const (
	defaultMinStallTimeout   = 300 * time.Millisecond
	defaultStallFactor       = 10
	defaultFirstChunkTimeout = 2 * time.Second
	defaultMinGainRatio      = 0.25
	defaultMinGain           = 100 * time.Millisecond
	moveOverhead             = 50 * time.Millisecond
	maxMoves                 = 3
	exclusionTime            = 2 * time.Second
	measureInterval          = 25 * time.Millisecond
	measureIntervalPerRun    = 70 * time.Microsecond // a measurement looks at every run
	swappingStallFactor      = 5
	hedgeSilenceRatio        = 0.4 // of the stall limit: when a silent stream is hedged
	maxHedgeTimeRatio        = 0.6 // a hedge must be predicted to end within this share of the time
	slowServerSpeed          = 0.6 // relative speed below which a server gets the short samples
	similarRateFactor        = 1.15
	maxRunsPerSample         = 2
	maxExclusionDoublings    = 4
	maxStallDoublings        = 6
	unknownLengthDivisor     = 2
)

// Policy switches mechanisms off, for measurements.
type Policy struct {
	// Baseline pushes all samples at once, round robin, with nothing else.
	Baseline       bool
	NoHedge        bool
	NoMove         bool
	NoAffinity     bool
	NoLongestFirst bool
	NoLateBinding  bool
}

// Config sets a plan's limits; zero fields take defaults.
type Config struct {
	Policy
	// Mixed: one sample may span weight versions, so that a stream can be
	// resumed on any server and not only on one with the same version.
	Mixed bool
	// PreferNew: of servers that would finish at about the same time, those
	// with the newest weights go first, before those with a warm prefix.
	PreferNew bool
	// HedgePercent bounds the tokens of second copies, in percent of the
	// step's tokens.
	HedgePercent float64
	// MinStallTimeout is the shortest silence that counts as a stall; StallFactor
	// times the usual gap between chunks is the limit above it.
	MinStallTimeout time.Duration
	StallFactor     float64
	// FirstChunkTimeout is how long a stream may wait for its first chunk.
	FirstChunkTimeout time.Duration
	// MinGainRatio is the share of its time that a move must save, MinGain the
	// time.
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

// Group is a prompt and its samples.
type Group struct {
	Samples   int
	MaxTokens int
	// Hint is the trainer's guess of a sample's length in tokens; 0: none.
	Hint int
	// Prefix is a hash of the prompt; siblings share it.
	Prefix uint64
}

// Server is an engine as the caller of Next sees it.
type Server struct {
	Name string
	// Free counts streams that may be started there now.
	Free int
	// SlotsFull: the slots are full and Free is a place in the agent's queue.
	SlotsFull bool
	// Running counts streams there now, everybody's.
	Running int
	// StreamRate is the reported rate of one stream, in tokens/s; 0: unknown.
	StreamRate float64
	// Version is the weight version that it serves.
	Version uint64
	// Leaving: its streams go elsewhere and it gets no others; Free counts for
	// nothing.
	Leaving bool
	// Swapping: a weight order is under way and streams may pause.
	Swapping bool
}

// RunID names one stream of one sample.
type RunID uint64

// Kind is what an Action asks for.
type Kind uint8

const (
	// Start: begin Run for Sample at Server.
	Start Kind = iota
	// Hedge: begin Run at Server as a second copy; From goes on.
	Hedge
	// Move: begin Run at Server from where From stands; stop From once Run
	// makes tokens.
	Move
	// Cancel: stop Run; the plan has already written it off.
	Cancel
)

func (k Kind) String() string {
	return [...]string{"start", "hedge", "move", "cancel"}[k]
}

// ReasonNoProgress is the reason of a Cancel whose stream went silent.
const ReasonNoProgress = "no progress"

// Action is one decision.
type Action struct {
	Kind   Kind
	Run    RunID
	Sample int
	Server string
	From   RunID
	// Reason is a short reason for the decision record.
	Reason string
}

// Stats counts what a plan did.
type Stats struct {
	Queued, Running, Finished int
	Runs, Hedges, Moves       int
	Stalls                    int
	// Tokens are those of finished samples; Wasted were made and not used;
	// HedgeWasted is the part of it that the hedge budget bounds.
	Tokens, Wasted, HedgeWasted int
}
