package capacity

import (
	"math"

	"github.com/rotisserie/eris"
)

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is the least-squares line through a set of points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the differences between the points
	// and the line, in the unit of the values.
	Residual float64 `json:"residual"`
}

// FitLine fits a line by least squares. It returns an error if the points have
// fewer than two distinct sizes.
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
		return Fit{}, eris.Errorf("fit a line through %d points: needs two distinct sizes", len(points))
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
