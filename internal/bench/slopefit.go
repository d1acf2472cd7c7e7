package bench

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Point is one measured value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a cost measured at several sizes, and the straight line fitted to it
// by least squares. SlopeLow and SlopeHigh bound the slope, InterceptLow and
// InterceptHigh the intercept, each with 95% confidence.
type Series struct {
	Name          string  `json:"name"`
	X             string  `json:"x"`
	Y             string  `json:"y"`
	Intercept     float64 `json:"intercept"`
	InterceptLow  float64 `json:"intercept_low"`
	InterceptHigh float64 `json:"intercept_high"`
	Slope         float64 `json:"slope"`
	SlopeLow      float64 `json:"slope_low"`
	SlopeHigh     float64 `json:"slope_high"`
	R2            float64 `json:"r2"`
	Points        []Point `json:"points"`
}

// confidence is the confidence level of the intervals.
const confidence = 0.95

func (s *Series) add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// fit computes the line. It needs at least three points and two different sizes.
func (s *Series) fit() {
	xs, ys := s.columns()
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	if math.IsNaN(s.R2) { // all values are equal: the fit is exact
		s.R2 = 1
	}
	n := float64(len(xs))
	meanX := stat.Mean(xs, nil)
	var residual, spread float64
	for i := range xs {
		r := ys[i] - s.Intercept - s.Slope*xs[i]
		residual += r * r
		spread += (xs[i] - meanX) * (xs[i] - meanX)
	}
	t := distuv.StudentsT{Sigma: 1, Nu: n - 2}.Quantile(1 - (1-confidence)/2)
	sigma := math.Sqrt(residual / (n - 2))
	slopeError := t * sigma / math.Sqrt(spread)
	interceptError := t * sigma * math.Sqrt(1/n+meanX*meanX/spread)
	s.SlopeLow, s.SlopeHigh = s.Slope-slopeError, s.Slope+slopeError
	s.InterceptLow, s.InterceptHigh = s.Intercept-interceptError, s.Intercept+interceptError
}

func (s *Series) columns() (xs, ys []float64) {
	for _, p := range s.Points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	return xs, ys
}

func (s *Series) print(w io.Writer) {
	fmt.Fprintf(w, "%s: %s against %s\n", s.Name, s.Y, s.X)
	for _, p := range s.Points {
		fmt.Fprintf(w, "  %10.6g  %.6g\n", p.X, p.Y)
	}
	fmt.Fprintf(w, "  intercept %.4g [%.4g, %.4g], slope %.4g [%.4g, %.4g], r2 %.3f\n",
		s.Intercept, s.InterceptLow, s.InterceptHigh, s.Slope, s.SlopeLow, s.SlopeHigh, s.R2)
}
