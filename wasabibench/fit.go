package wasabibench

import (
	"fmt"
	"math"
)

// Fit is a straight line fitted to points by least squares.
type Fit struct {
	Slope, Intercept float64
	// Determination is the coefficient of determination (R2), the fraction of
	// the variance that the line explains, at most 1.
	Determination float64
}

// FitLine fits a line through at least two points with different x.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	var mx, my float64
	for i := range x {
		mx, my = mx+x[i]/n, my+y[i]/n
	}
	var xx, xy, yy float64
	for i := range x {
		dx, dy := x[i]-mx, y[i]-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	f := Fit{Slope: xy / xx, Determination: 1}
	f.Intercept = my - f.Slope*mx
	if yy > 0 {
		f.Determination = math.Min(1, xy*xy/(xx*yy))
	}
	return f
}

// String returns the line with its coefficient of determination.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g each + %.4g (R2 %.3f)", f.Slope, f.Intercept, f.Determination)
}
