package place

import "math"

// Lengths learns how long samples become from those that are whole: a regression
// of the logarithm of the length on that of the trainer's hint. Hints are in
// another unit than lengths and often far off; a high one is more often too high
// than too low, so that a guess lies between the hint and the mean. Its zero value
// knows nothing. It is not safe for concurrent use.
type LengthEstimator struct {
	// Sums of the weights, of hints x and lengths y.
	sumWeights, sumX, sumY, sumXX, sumXY float64
}

const (
	// lengthsFew is how many samples have to be known for a guess: about two
	// groups.
	minKnownLengths = 16
	// lengthsKeep is the weight that the past keeps at each new sample: some steps
	// of a few hundred samples are remembered.
	lengthDecay = 0.998
	// leastVariance is the variance of the logarithm of hints below which they are
	// all the same but for errors of rounding.
	minHintVariance = 1e-6
)

// Learn notes a whole sample.
func (l *LengthEstimator) Observe(hint, length float64) {
	if hint <= 0 || length <= 0 {
		return
	}
	x, y := math.Log(hint), math.Log(length)
	for _, sum := range []struct {
		at    *float64
		value float64
	}{{&l.sumWeights, 1}, {&l.sumX, x}, {&l.sumY, y}, {&l.sumXX, x * x}, {&l.sumXY, x * y}} {
		*sum.at = *sum.at*lengthDecay + sum.value
	}
}

// Guess returns the likely length of a sample with a hint, 0: without; false: too
// few are known.
func (l *LengthEstimator) Estimate(hint float64) (float64, bool) {
	if l.sumWeights < minKnownLengths {
		return 0, false
	}
	meanX, meanY := l.sumX/l.sumWeights, l.sumY/l.sumWeights
	if hint <= 0 {
		return math.Exp(meanY), true
	}
	return math.Exp(meanY + l.slope()*(math.Log(hint)-meanX)), true
}

// slope is how much of a hint's difference from the mean is believed.
func (l *LengthEstimator) slope() float64 {
	meanX := l.sumX / l.sumWeights
	variance := l.sumXX/l.sumWeights - meanX*meanX
	if variance < minHintVariance {
		return 0
	}
	return min(1, max(0, (l.sumXY/l.sumWeights-meanX*l.sumY/l.sumWeights)/variance))
}

// Left guesses what is still to be made of a sample of which made units are there.
// One that is longer than was guessed is likely to be much longer: the hint was
// wrong.
func Remaining(estimate, made float64) float64 {
	if made >= estimate {
		return max(estimate, made) / 2
	}
	return estimate - made
}
