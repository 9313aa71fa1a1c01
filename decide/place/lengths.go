package place

import "math"

// LengthEstimator estimates the length of samples from finished ones, by a linear
// regression of the logarithm of the length on the logarithm of the trainer's hint.
// Hints are in another unit than lengths and often far off, and a high hint is more
// often too high than too low. An estimate therefore lies between the hint and the
// mean. The zero value is ready to use. It is not safe for concurrent use.
type LengthEstimator struct {
	// Decaying sums over the observed samples: weights, log hints (X), log lengths (Y)
	// and their products.
	sumWeights, sumX, sumY, sumXX, sumXY float64
}

const (
	// minKnownLengths is the total weight of samples needed for an estimate, about two
	// groups.
	minKnownLengths = 16
	// lengthDecay is the factor applied to past samples at each new one. At 0.998 the
	// estimate covers some steps of a few hundred samples.
	lengthDecay = 0.998
	// minHintVariance is the variance of the log hints below which all hints are
	// considered equal, apart from rounding errors.
	minHintVariance = 1e-6
)

// Observe records the hint and the length of a finished sample. It ignores values that
// are not positive.
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

// Estimate returns the expected length of a sample with the given hint (0 if it has
// none), and false if too few samples are known.
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

// slope returns the regression slope, limited to 0 to 1: the share of a hint's
// deviation from the mean that is trusted.
func (l *LengthEstimator) slope() float64 {
	meanX := l.sumX / l.sumWeights
	variance := l.sumXX/l.sumWeights - meanX*meanX
	if variance < minHintVariance {
		return 0
	}
	return min(1, max(0, (l.sumXY/l.sumWeights-meanX*l.sumY/l.sumWeights)/variance))
}

// Remaining estimates the remaining length of a sample of which made units exist. A
// sample that has exceeded its estimate is likely to become much longer, because its
// hint was wrong.
func Remaining(estimate, made float64) float64 {
	if made >= estimate {
		return max(estimate, made) / 2
	}
	return estimate - made
}
