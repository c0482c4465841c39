package measure

import (
	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/baseline"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// VersionComparison selects the parts of a version by which instances recognise
// a newer view.
type VersionComparison uint8

// What instances compare to recognise a newer view.
const (
	CompareGenerationAndRevision VersionComparison = iota
	CompareRevisionOnly
	CompareNothing
)

// balancerName is the name of the balancer among the candidates.
const balancerName = "balancer"

// Candidate is a policy under test.
type Candidate struct {
	Name string
	New  NewPolicy
	// VersionComparison selects what instances compare before they apply a
	// view.
	VersionComparison VersionComparison
}

// NewBalancer returns a constructor of balancers with the settings.
func NewBalancer(settings balancer.Settings) NewPolicy {
	return func(self view.ID, dataCentre string) balancer.Policy {
		return balancer.New(balancer.Config{Self: self, DataCentre: dataCentre, Settings: settings})
	}
}

// Candidates returns the policies that the table compares. The balancer comes
// last.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "stateless", New: func(view.ID, string) balancer.Policy { return &baseline.Stateless{} }},
		{Name: "table", New: func(view.ID, string) balancer.Policy { return &baseline.Table{} }},
		{Name: balancerName, New: NewBalancer(balancer.Settings{})},
	}
}
