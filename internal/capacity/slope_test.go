package capacity

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestFitFindsTheLineAndItsResidual(t *testing.T) {
	exact := fit("line", "ms", "item", []Point{{1, 5}, {2, 7}, {10, 23}})
	if d := cmp.Diff([]float64{2, 3, 0}, rounded(exact.Value, exact.Fixed, exact.Residual)); d != "" {
		t.Errorf("slope, fixed part and residual (-want +got):\n%s", d)
	}
	bent := fit("square", "ms", "item", []Point{{0, 0}, {1, 1}, {2, 4}})
	// The line is 2x - 1/3; the distances are 1/3, -2/3 and 1/3, the mean 5/3.
	want := rounded(2, -1.0/3, math.Sqrt(2.0/9)/(5.0/3))
	if d := cmp.Diff(want, rounded(bent.Value, bent.Fixed, bent.Residual)); d != "" {
		t.Errorf("slope, fixed part and residual (-want +got):\n%s", d)
	}
}

func rounded(values ...float64) []float64 {
	for i := range values {
		values[i] = math.Round(values[i]*1e9) / 1e9
	}
	return values
}

// Guards against measuring nothing: if the router refused parts of the generated
// fleet, the slopes would not cover them.
func TestGeneratedFleetIsAccepted(t *testing.T) {
	p := fleetSize{dataCentres: 3, services: 10, instances: 4, upstreams: 50}
	n, _ := startRouter(p, settingsForFlows(100))
	d := n.Dump()
	if d := cmp.Diff([]int{0, 8, 11}, []int{len(d.View.Refused), len(d.View.Keys), len(d.Members.Members)}); d != "" {
		t.Errorf("refused values, keys and other members (-want +got):\n%s", d)
	}
	if d := cmp.Diff(true, d.Serving); d != "" {
		t.Errorf("serving (-want +got):\n%s", d)
	}
}
