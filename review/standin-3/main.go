// Command standin-3 plays the cases of the third review: it starts the project's programs
// as the deploy file does, and stands in for the platform, the endpoints and the clients.
package main

import (
	"fmt"
	"os"
)

// Results of a case and exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// withoutTrouble is the value of TROUBLE that leaves the disruption out.
const withoutTrouble = "0"

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(r *record, trouble string) (int, error){"late-entry": playLateEntry, "open-flow": playOpenFlow, "evacuation": playEvacuation, "drain": playDrain}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	result, err := play(r, os.Getenv("TROUBLE"))
	if err != nil {
		r.line("could not run: %v", err)
		result = failed
	}
	r.close()
	os.Exit(result)
}
