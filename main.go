// Command chervilhaven runs and inspects a layer-4 load balancer. Operators
// declare classes of work and a latency target for each.
package main

import (
	"os"

	"github.com/chervilhaven/chervilhaven/internal/command"
)

// version is set by the linker (-ldflags "-X main.version=...").
var version = "dev"

func main() {
	os.Exit(command.Run(version, os.Args[1:]))
}
