// Command chervilhaven-platform runs one instance on the operators' platform.
// It is a separate binary because memory is expensive there: the other commands of
// chervilhaven would double its memory use.
package main

import (
	"os"

	"github.com/chervilhaven/chervilhaven/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
