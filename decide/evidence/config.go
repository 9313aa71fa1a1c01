package evidence

import "time"

// Config sets the thresholds and durations of a Pool.
type Config struct {
	// Pipeline is how many requests a server may have besides those in its slots, so that
	// no slot idles while an answer and the next request are on their way.
	Pipeline int
	// Recent is how long a sample is evidence.
	Recent time.Duration

	// FailureShare is the share of failures among the recent samples from which on a
	// server fails, given MinSamples samples and MinFailures failures.
	FailureShare float64
	MinSamples   int
	MinFailures  int
	// SlowPace is the pace from which on a server is ejected if each of its last
	// SlowSamples times reaches it.
	SlowPace    float64
	SlowSamples int
	// UsefulShare is the share of failures up to which an ejected server is better than a
	// refusal: most requests are answered by it, or by another server after it.
	UsefulShare float64

	// BaseEjection is the duration of the first ejection. Each further one within
	// ForgetAfter of the last lasts twice as long, up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	ForgetAfter  time.Duration
	// ProbationAnswers is how many answers end the probation after an ejection.
	ProbationAnswers int
	// RestartProbation is how long after a failure a new incarnation under the same name
	// starts on probation.
	RestartProbation time.Duration

	// SoleWindow is how long a gateway without reports counts as a user of the service.
	// If there is one user only, its word suffices to eject a server for all.
	SoleWindow time.Duration
}

// Default is the configuration of brokers.
//
// SlowPace is what usual objectives are in typical times: a slower server's answers are in
// time for nobody. Requests with shorter objectives are kept from it by its Pace.
var Default = Config{
	Pipeline:         1,
	Recent:           30 * time.Second,
	FailureShare:     0.3,
	MinSamples:       4,
	MinFailures:      2,
	SlowPace:         6,
	SlowSamples:      3,
	UsefulShare:      0.6,
	BaseEjection:     time.Second,
	MaxEjection:      10 * time.Second,
	ForgetAfter:      30 * time.Second,
	ProbationAnswers: 3,
	RestartProbation: 10 * time.Second,
	SoleWindow:       5 * time.Second,
}

// Bounds of a Pool's state.
const (
	maxRoutes    = 1024
	maxReporters = 2048
	maxNames     = 1024
	// maxViews bounds the gateways of whose own trouble with a server a Pool knows.
	maxViews = 64
	// ringSize is the number of samples kept for each server.
	ringSize = 16
)

// ejection returns how long the ejection with that number in a row lasts; the first is 1.
func (c Config) ejection(strikes int) time.Duration {
	const maxDoublings = 16 // keeps the shift from overflowing
	length := c.BaseEjection << min(max(strikes-1, 0), maxDoublings)
	return min(length, c.MaxEjection)
}
