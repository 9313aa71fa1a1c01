// Package manifest is the operators' declaration of what should run: its
// types, its INI form, its checks and its signature.
package manifest

import "time"

// Manifest is one checked revision. It is immutable once parsed.
type Manifest struct {
	Fleet    Fleet
	Models   map[string]Model
	Services map[string]Service
	Trainers map[string]Trainer
	Callers  map[string]Caller
	// Leaving names backend server VMs that must take no new work.
	Leaving map[string]bool

	// Parse fills these; a Manifest made without it is searched instead.
	callersByToken  tokenIndex
	trainersByToken tokenIndex
	settings        []Setting
}

// Setting is one key with the value in force: the file's or the default.
type Setting struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
}

// Settings returns every setting of a parsed manifest in the file's order of
// sections.
func (m *Manifest) Settings() []Setting { return m.settings }

// Weigh says which measure the operators weigh more.
type Weigh string

const (
	WeighIdle      Weigh = "idle"      // trainer idle time
	WeighStaleness Weigh = "staleness" // staleness of samples
)

// Fleet holds what concerns every process. INI: [fleet].
type Fleet struct {
	Name           string
	Weigh          Weigh
	ClockSkew      time.Duration // bound between any two VMs' clocks
	KeyWindow      time.Duration // how old an idempotency key may be
	LogRetention   time.Duration // how long the log keeps records
	AppendsPerS    float64       // the log's append rate for the whole fleet
	StoreBytesPS   float64       // the weight store's rate for the whole fleet
	MaxBodyBytes   int64
	DefaultTimeout time.Duration
	// OperatorSHA256 is of the operators' tokens, in the form of a trainer's
	// TokenSHA256; empty: nobody may ask what only operators may.
	OperatorSHA256 string
}

// Model is a model that engines serve. INI: [model NAME].
type Model struct {
	Name      string
	SwapGrace time.Duration // how long a running stream may hold up a weight swap
	MaxTokens int
}

// Service is a plain service. INI: [service NAME], routes [route SERVICE.NAME].
type Service struct {
	Name        string
	Concurrency int           // requests at once per backend server
	Queue       int           // waiting requests per backend server
	Timeout     time.Duration // longest time one request may take at the server
	Routes      []Route       // in file order; the first match wins
}

// Repeat says whether a route's requests may run more than once.
type Repeat string

const (
	RepeatAlways Repeat = "always" // idempotent
	RepeatNever  Repeat = "never"  // not idempotent
)

// Route matches requests of a service by method and path prefix.
type Route struct {
	Name    string
	Methods []string // empty: any
	Prefix  string
	Repeat  Repeat
	// RequireKey refuses a request without an idempotency key (RepeatNever only).
	RequireKey bool
	Priority   int
}

// Trainer is a trainer and its samples' terms. INI: [trainer NAME].
type Trainer struct {
	Name           string
	TokenSHA256    string // hex; up to three with commas while a token is rotated
	Model          string
	StalenessBound uint64 // how many versions behind the trainer's newest a token may be
	AllowMixed          bool   // one sample may span versions
	Scorer         string // name of a service; empty: none
	ScorerPath     string
	HedgePercent   float64 // budget for second copies, percent of a step's tokens
	Weight         float64 // fair share
	Priority       int
}

// Caller is an application or service. INI: [caller NAME].
type Caller struct {
	Name         string
	TokenSHA256  string          // as Trainer's
	Allow        map[string]bool // models and services
	Rate         float64         // requests a second; 0: no limit
	Burst        int
	MaxConcurrent   int     // requests at once; 0: no limit
	Weight       float64 // fair share
	Priority     int
	RetryPercent float64 // retries allowed, percent of requests
}
