package capacity

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFitFindsTheLineThatPointsLieOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Fit{
			Slope:     rapid.Float64Range(-1e3, 1e3).Draw(t, "slope"),
			Intercept: rapid.Float64Range(-1e3, 1e3).Draw(t, "intercept"),
		}
		sizes := rapid.SliceOfNDistinct(rapid.IntRange(1, 1000), 2, 6, rapid.ID).Draw(t, "sizes")
		var points []Point
		for _, size := range sizes {
			points = append(points, Point{float64(size), want.At(float64(size))})
		}
		fit, err := FitLine(points)
		require.NoError(t, err)
		require.InDelta(t, want.Slope, fit.Slope, 1e-4)
		require.InDelta(t, want.Intercept, fit.Intercept, 1e-2)
		require.InDelta(t, 0, fit.Residual, 1e-3)
	})
}

func TestNoOtherLineIsNearerThanTheFit(t *testing.T) {
	squares := func(line Fit, points []Point) float64 {
		sum := 0.0
		for _, point := range points {
			distance := point.Value - line.At(point.Size)
			sum += distance * distance
		}
		return sum
	}
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfNDistinct(rapid.IntRange(1, 100), 3, 6, rapid.ID).Draw(t, "sizes")
		var points []Point
		for _, size := range sizes {
			points = append(points, Point{float64(size), rapid.Float64Range(-100, 100).Draw(t, "value")})
		}
		fit, err := FitLine(points)
		require.NoError(t, err)
		least := squares(fit, points)
		require.InDelta(t, least, fit.Residual*fit.Residual*float64(len(points)), 1e-6*(1+least))
		other := Fit{
			Slope:     fit.Slope + rapid.Float64Range(-1, 1).Draw(t, "slope"),
			Intercept: fit.Intercept + rapid.Float64Range(-10, 10).Draw(t, "intercept"),
		}
		require.LessOrEqual(t, least, squares(other, points)*(1+1e-9)+1e-9)
	})
}

func TestFitNeedsTwoSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 2}}, {{1, 2}, {1, 3}}} {
		_, err := FitLine(points)
		require.Error(t, err)
	}
}

func TestReportIsWrittenAsTableAndJSON(t *testing.T) {
	report := newReport()
	require.NoError(t, report.add(Series{
		Section: "s", Name: "n", Unit: "bytes", Per: "things", Target: 100, Points: []Point{{1, 3}, {2, 5}, {3, 7}},
	}))
	require.Error(t, report.add(Series{Name: "one size"}))
	var table, document bytes.Buffer
	require.NoError(t, report.WriteTable(&table))
	require.Contains(t, table.String(), "100: 201")
	require.NoError(t, report.WriteJSON(&document))
	var read Report
	require.NoError(t, json.Unmarshal(document.Bytes(), &read))
	require.Equal(t, *report, read)
}

func TestUnknownSectionIsRefused(t *testing.T) {
	_, err := Run(t.Context(), []string{"nothing"})
	require.ErrorContains(t, err, "unknown section")
}
