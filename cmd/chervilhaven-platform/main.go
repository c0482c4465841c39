// Command chervilhaven-platform runs one instance on the operators' platform.
// It is a program of its own because memory is dear there: the other commands
// of chervilhaven would double it.
package main

import (
	"os"

	"github.com/chervilhaven/chervilhaven/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
