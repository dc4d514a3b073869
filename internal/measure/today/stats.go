package today

import (
	"slices"
	"time"
)

// quantile returns the q-quantile of the values, or zero if there are none. It
// sorts the values.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func median(values []time.Duration) time.Duration {
	return quantile(values, 0.5)
}

func worst(values []time.Duration) time.Duration {
	return quantile(values, 1)
}

// milliseconds converts a duration to the unit of the report.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// jainIndex returns Jain's fairness index: 1 if all shares are equal, 1/n if one
// of n takes all.
func jainIndex(shares []float64) float64 {
	var sum, squares float64
	for _, share := range shares {
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(shares)) * squares)
}
