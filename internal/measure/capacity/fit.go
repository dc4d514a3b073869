package capacity

import (
	"math"

	"github.com/rotisserie/eris"
)

// Point is one measurement at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the line of least squares through some points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root of the mean squared distance of the points from
	// the line, in the unit of the values.
	Residual float64 `json:"residual"`
}

// FitLine fits a line. It fails where the points have fewer than two sizes.
func FitLine(points []Point) (Fit, error) {
	count := float64(len(points))
	var meanSize, meanValue float64
	for _, point := range points {
		meanSize += point.Size / count
		meanValue += point.Value / count
	}
	var covariance, variance float64
	for _, point := range points {
		covariance += (point.Size - meanSize) * (point.Value - meanValue)
		variance += (point.Size - meanSize) * (point.Size - meanSize)
	}
	if variance == 0 {
		return Fit{}, eris.Errorf("fit a line through %d points: needs two sizes", len(points))
	}
	fit := Fit{Slope: covariance / variance}
	fit.Intercept = meanValue - fit.Slope*meanSize
	var squares float64
	for _, point := range points {
		distance := point.Value - fit.At(point.Size)
		squares += distance * distance / count
	}
	fit.Residual = math.Sqrt(squares)
	return fit, nil
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}
