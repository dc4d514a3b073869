package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Series is one quantity measured at several sizes.
type Series struct {
	Section string `json:"section"`
	Name    string `json:"name"`
	Unit    string `json:"unit"` // unit of the values
	Per     string `json:"per"`  // what the sizes count, such as groups
	// Target is the size at which AtTarget is the fitted line's value.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
	Points   []Point `json:"points"`
	Fit      Fit     `json:"fit"`
}

// Report holds all series that one run measured.
type Report struct {
	Commit     string   `json:"commit"`
	GoVersion  string   `json:"go_version"`
	Processors int      `json:"processors"`
	Series     []Series `json:"series"`
}

func newReport() *Report {
	return &Report{Commit: commit(), GoVersion: runtime.Version(), Processors: runtime.NumCPU()}
}

// commit returns the revision that the binary was built from, and whether the
// source had uncommitted changes.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " with changes"
		}
	}
	return revision + modified
}

// add fits a line through the points of a series and adds the series to the
// report.
func (r *Report) add(series Series) error {
	fit, err := FitLine(series.Points)
	if err != nil {
		return err
	}
	series.Fit = fit
	series.AtTarget = fit.At(series.Target)
	r.Series = append(r.Series, series)
	return nil
}

// WriteTable writes the report as a table with one line for each series.
func (r *Report) WriteTable(output io.Writer) error {
	fmt.Fprintf(output, "commit %s, %s, %d processors\n", r.Commit, r.GoVersion, r.Processors)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "section\tquantity\tunit\tper\tpoints\tslope\tintercept\tresidual\tat target")
	for _, series := range r.Series {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s: %s\n",
			series.Section, series.Name, series.Unit, series.Per, formatPoints(series.Points),
			format(series.Fit.Slope), format(series.Fit.Intercept), format(series.Fit.Residual),
			format(series.Target), format(series.AtTarget))
	}
	return table.Flush()
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

func formatPoints(points []Point) string {
	texts := make([]string, len(points))
	for i, point := range points {
		texts[i] = format(point.Size) + "=" + format(point.Value)
	}
	return strings.Join(texts, " ")
}

// significantDigits is the precision of the numbers in the table.
const significantDigits = 4

func format(value float64) string {
	text := strconv.FormatFloat(value, 'g', significantDigits, 64)
	if parsed, err := strconv.ParseFloat(text, 64); err == nil && parsed >= 1000 {
		return strconv.FormatFloat(parsed, 'f', -1, 64)
	}
	return text
}
