package measure

import (
	"fmt"
	"io"
	"slices"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
)

// busyQueries is a rate, in queries per second, at which upstream slots are
// often busy.
const busyQueries = 450

// Ablation compares the balancer with and without one of its rules.
type Ablation struct {
	Title string
	runs  []*Run
}

func newAblation(title string, d Deployment, rows []Row, variants []Candidate) Ablation {
	a := Ablation{Title: title}
	for _, r := range rows {
		for _, v := range variants {
			a.runs = append(a.runs, &Run{Deployment: d, Row: r, Candidate: v})
		}
	}
	return a
}

// variant returns the balancer with the settings as a candidate of the given
// name.
func variant(name string, settings balancer.Settings) Candidate {
	return Candidate{Name: name, New: NewBalancer(settings)}
}

// Ablations returns the rules under test, each with its rows and its variants
// of the balancer.
func Ablations() []Ablation {
	asBuilt := variant("as built", balancer.Settings{})
	unversioned := variant("nothing compared", balancer.Settings{IgnoreVersions: true})
	unversioned.VersionComparison = CompareNothing
	revisions := variant("revision alone", balancer.Settings{})
	revisions.VersionComparison = CompareRevisionOnly
	busy := Ocre()
	busy.Queries = busyQueries
	return []Ablation{
		newAblation("Imbalance factor", Ocre(), rowsNamed("steady"), imbalanceFactors(1.02, 1.05, 1.1, 1.15, 1.25, 100)),
		newAblation("Generation and revision compared, revision alone, or nothing", Ocre(),
			append(rowsNamed("uneven views, 5 s"), restoredRow()), []Candidate{asBuilt, revisions, unversioned}),
		newAblation("Search before admission", Ocre(), append(rowsNamed("uneven views, 5 s"), lossyRow()),
			[]Candidate{asBuilt, variant("no search", balancer.Settings{AdmitWithoutSearch: true})}),
		newAblation("Reset or silence for flows given up", Vatulele(), rowsNamed("data centre out and back"),
			[]Candidate{asBuilt, variant("silence", balancer.Settings{DropLostFlows: true})}),
		newAblation("Adoption with and without completeness", Ocre(), rowsNamed("drains", "upstreams double", "instance killed"),
			[]Candidate{asBuilt, variant("adopted at once", balancer.Settings{AdoptWithoutSearch: true})}),
		newAblation("Openings passed on by busy slots and by imbalance, 450 queries a second", busy, rowsNamed("steady", "data centre out and back"),
			[]Candidate{
				asBuilt, variant("slots ignored", balancer.Settings{IgnoreSlots: true}),
				variant("imbalance ignored", balancer.Settings{ImbalanceFactor: 100}),
			}),
	}
}

func imbalanceFactors(factors ...float64) []Candidate {
	var list []Candidate
	for _, f := range factors {
		list = append(list, variant(fmt.Sprintf("c = %g", f), balancer.Settings{ImbalanceFactor: f}))
	}
	return list
}

// rowsNamed returns the rows with the given names, in the order of Rows.
func rowsNamed(names ...string) []Row {
	return slices.DeleteFunc(Rows(), func(r Row) bool { return !slices.Contains(names, r.Name) })
}

// PrintAblations runs all ablations and writes their tables in Markdown.
func PrintAblations(w io.Writer, s Selection) {
	ablations := Ablations()
	var all []*Run
	for _, a := range ablations {
		all = append(all, a.runs...)
	}
	s.runAll(all)
	printAblations(w, ablations)
}

func printAblations(w io.Writer, ablations []Ablation) {
	for _, a := range ablations {
		fmt.Fprintf(w, "\n### %s (%s)\n\n", a.Title, a.runs[0].Deployment.Name)
		printTable(w, a.runs)
	}
}
