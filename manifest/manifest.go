// Package manifest defines the operators' declaration of what should run: its
// types, its INI syntax, its validation and its signature.
package manifest

import "time"

// Manifest holds one validated revision. It must not be changed after Parse.
type Manifest struct {
	Fleet    Fleet
	Models   map[string]Model
	Services map[string]Service
	Trainers map[string]Trainer
	Callers  map[string]Caller
	// Leaving names backend server VMs that must take no new work.
	Leaving map[string]bool

	// Parse fills these fields. A Manifest that was built without Parse has no
	// token indexes; each token lookup then builds one from Callers or Trainers.
	callersByToken  tokenIndex
	trainersByToken tokenIndex
	settings        []Setting
}

// Setting is one key with its effective value: the one in the file or the default.
type Setting struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
}

// Settings returns every setting of a parsed manifest, with the sections in file
// order. It returns nil for a Manifest that Parse did not return.
func (m *Manifest) Settings() []Setting { return m.settings }

// Weigh selects the measure that has priority for the operators.
type Weigh string

const (
	WeighIdle      Weigh = "idle"      // trainer idle time
	WeighStaleness Weigh = "staleness" // staleness of samples
)

// Fleet holds the settings of every process. INI: [fleet].
type Fleet struct {
	Name           string
	Weigh          Weigh
	ClockSkew      time.Duration // largest difference between the clocks of any two VMs
	KeyWindow      time.Duration // largest age of an idempotency key
	LogRetention   time.Duration // how long the log keeps records
	AppendsPerS    float64       // the log's limit on appends per second, for the whole fleet
	StoreBytesPS   float64       // the weight store's limit in bytes per second, for the whole fleet
	MaxBodyBytes   int64
	DefaultTimeout time.Duration
	// OperatorSHA256 holds the hashes of the operators' tokens, in the format of
	// Trainer.TokenSHA256. Empty: requests that need an operator's token are refused.
	OperatorSHA256 string
}

// Model is a model that engines serve. INI: [model NAME].
type Model struct {
	Name      string
	SwapGrace time.Duration // how long a running stream may delay a weight swap
	MaxTokens int
}

// Service is a service that is not a model. INI: [service NAME], its routes
// [route SERVICE.NAME].
type Service struct {
	Name        string
	Concurrency int           // concurrent requests per backend server
	Queue       int           // waiting requests per backend server
	Timeout     time.Duration // longest time for one request at the backend server
	Routes      []Route       // in file order; the first match wins
}

// Repeat states whether a route's requests may run more than once.
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
	// RequireKey refuses requests without an idempotency key. It is valid only
	// with RepeatNever.
	RequireKey bool
	Priority   int
}

// Trainer is a trainer and the limits for its samples. INI: [trainer NAME].
type Trainer struct {
	Name           string
	TokenSHA256    string // hex; up to three, separated by commas, while a token is rotated
	Model          string
	StalenessBound uint64 // how many versions older than the trainer's newest a generated token may be
	AllowMixed     bool   // one sample may span weight versions
	Scorer         string // name of a service; empty: none
	ScorerPath     string
	HedgePercent   float64 // budget for hedges, in percent of a step's tokens
	Weight         float64 // relative fair share
	Priority       int
}

// Caller is an application or service that sends requests. INI: [caller NAME].
type Caller struct {
	Name          string
	TokenSHA256   string          // same format as Trainer.TokenSHA256
	Allow         map[string]bool // names of models and services
	Rate          float64         // requests per second; 0: no limit
	Burst         int
	MaxConcurrent int     // concurrent requests; 0: no limit
	Weight        float64 // relative fair share
	Priority      int
	RetryPercent  float64 // retry budget, in percent of requests
}
