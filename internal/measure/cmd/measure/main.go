// Command measure runs simulations of the balancer and of simpler policies. By
// default it writes docs/MEASUREMENTS.md and its plots.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/chervilhaven/chervilhaven/internal/measure"
)

func main() {
	var (
		seed       = flag.Uint64("seed", 1, "seed of the first trace")
		seeds      = flag.Int("seeds", 3, "number of traces")
		row        = flag.String("row", "", "run only the `row` with this name and print the table")
		deployment = flag.String("deployment", "", "run only this `deployment` and print the table")
		policy     = flag.String("policy", "", "run only this `policy` and print the table")
		trace      = flag.Bool("trace", false, "print the events of the first flow that broke, opened at two upstreams or was shed")
		number     = flag.Uint64("flow", 0, "with -trace: `number` of the flow to trace instead")
		ablations  = flag.Bool("ablations", false, "run only the ablations and print their tables")
		surges     = flag.Bool("surges", false, "run only the surges after a loss of power and print their table")
		docs       = flag.String("docs", "docs", "`directory` to write the page and the plots to")
		workers    = flag.Int("workers", 4, "number of concurrent runs")
	)
	flag.Parse()
	selection := measure.Selection{Row: *row, Deployment: *deployment, Policy: *policy, Seed: *seed, Seeds: *seeds, Workers: *workers}
	var err error
	switch {
	case *trace:
		err = measure.TraceFlow(os.Stdout, selection, *number)
	case *surges:
		measure.PrintSurges(os.Stdout, measure.RunSurges(*seed, *seeds))
	case *ablations:
		measure.PrintAblations(os.Stdout, selection)
	case *row != "" || *deployment != "" || *policy != "":
		err = measure.PrintRuns(os.Stdout, selection)
	default:
		err = measure.WritePage(os.Stdout, *docs, selection)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
