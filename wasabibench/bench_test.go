package wasabibench_test

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"io"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabistand/wasabistand"
	"github.com/wasabistand/wasabistand/wasabibench"
)

// Guards against wrong slopes in the capacity page: the fitted line must match
// the points.
func TestFitLine(t *testing.T) {
	f := wasabibench.FitLine([]float64{1, 2, 4}, []float64{5, 7, 11})
	assert.Assert(t, math.Abs(f.Slope-2) < 1e-9 && math.Abs(f.Intercept-3) < 1e-9 && math.Abs(f.Determination-1) < 1e-9, "%+v", f)
	f = wasabibench.FitLine([]float64{0, 1, 2}, []float64{0, 3, 0})
	assert.Assert(t, math.Abs(f.Slope) < 1e-9 && math.Abs(f.Intercept-1) < 1e-9 && f.Determination < 1e-9, "%+v", f)
}

// Guards against output that other programs can't parse, and against an unknown
// benchmark name that is ignored.
func TestCommand(t *testing.T) {
	var out bytes.Buffer
	c := wasabibench.New(&out, io.Discard)
	assert.NilError(t, c.ParseAndRun(t.Context(), []string{"-json", "members"}))
	var table wasabibench.Table
	assert.NilError(t, json.Unmarshal(out.Bytes(), &table))
	assert.Equal(t, table.Name, "members")
	assert.Assert(t, len(table.Rows) >= 3)
	out.Reset()
	assert.NilError(t, wasabibench.New(&out, io.Discard).ParseAndRun(t.Context(), []string{"-csv", "-seed", "3", "members"}))
	rows, err := csv.NewReader(&out).ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, rows[1][1], "3")
	err = wasabibench.New(&out, io.Discard).ParseAndRun(t.Context(), []string{"speed"})
	assert.Assert(t, wasabistand.ErrInvalid.Has(err))
}
