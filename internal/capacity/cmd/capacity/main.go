// Command capacity measures the resources that an instance needs, as slopes per
// member, key, upstream, flow and packet. Arguments select groups of
// measurements; without any it runs all. docs/CAPACITY.md is calculated from
// its output.
package main

import (
	"fmt"
	"os"

	"github.com/chervilhaven/chervilhaven/internal/capacity"
)

func main() {
	if err := capacity.Print(os.Stdout, os.Args[1:]...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
