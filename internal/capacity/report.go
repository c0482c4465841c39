package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// group is a set of slopes that are measured together.
type group struct {
	name    string
	measure func() ([]Slope, error)
}

// UnknownGroupError reports that no group of measurements has the name.
type UnknownGroupError struct{ Name string }

func (e *UnknownGroupError) Error() string {
	return fmt.Sprintf("unknown group of measurements %q", e.Name)
}

// Print measures the named groups, or all if there are no names, and writes the
// slopes as a Markdown table.
func Print(w io.Writer, names ...string) error {
	groups := []group{
		{"published", published},
		{"keys", keys},
		{"membership", membership},
		{"flows", flows},
		{"configuration", configuration},
		{"loopback", loopback},
	}
	for _, name := range names {
		if !slices.ContainsFunc(groups, func(g group) bool { return g.name == name }) {
			return &UnknownGroupError{Name: name}
		}
	}
	fmt.Fprintln(w, "| cost | per | slope | fixed | residual | measured at size: value |")
	fmt.Fprintln(w, "|---|---|---:|---:|---:|---|")
	for _, g := range groups {
		if len(names) > 0 && !slices.Contains(names, g.name) {
			continue
		}
		slopes, err := g.measure()
		if err != nil {
			return err
		}
		for _, s := range slopes {
			fmt.Fprintln(w, s.row())
		}
	}
	return nil
}

func (s *Slope) row() string {
	points := make([]string, len(s.Points))
	for i, p := range s.Points {
		points[i] = fmt.Sprintf("%.4g: %.4g", p.Size, p.Value)
	}
	return fmt.Sprintf("| %s | %s | %.3g %s | %.3g %s | %.1f%% | %s |",
		s.Name, s.Per, s.Value, s.Unit, s.Fixed, s.Unit, 100*s.Residual, strings.Join(points, ", "))
}
