// Package capacity measures what one instance needs for each member, key,
// upstream, flow and packet. It fits slopes over several sizes, from which
// docs/CAPACITY.md calculates the needs of a fleet that is too large for one
// machine.
package capacity

import (
	"math"
	"runtime"
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Point is one measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a straight line fitted to measurements.
type Slope struct {
	Name string
	// Unit is the unit of the values, Per names what the sizes count.
	Unit   string
	Per    string
	Points []Point
	// Value is the growth of the values per unit of size and Fixed the value at
	// size zero. Residual is the root mean square distance from the line,
	// relative to the mean value.
	Value    float64
	Fixed    float64
	Residual float64
}

// fit returns the line through the points by least squares.
func fit(name, unit, per string, points []Point) Slope {
	s := Slope{Name: name, Unit: unit, Per: per, Points: points}
	sizes, values := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		sizes[i], values[i] = p.Size, p.Value
	}
	s.Fixed, s.Value = stat.LinearRegression(sizes, values, nil, false)
	line := make([]float64, len(points))
	for i, size := range sizes {
		line[i] = s.Fixed + s.Value*size
	}
	if mean := stat.Mean(values, nil); mean != 0 {
		s.Residual = floats.Distance(line, values, 2) / math.Sqrt(float64(len(points))) / math.Abs(mean)
	}
	return s
}

// heapInUse returns the bytes in use on the heap after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// fastest returns the shortest time of several runs, as it is the least
// disturbed by other load on the machine.
func fastest(runs int, work func()) time.Duration {
	best := time.Duration(math.MaxInt64)
	for range runs {
		start := time.Now()
		work()
		best = min(best, time.Since(start))
	}
	return best
}
