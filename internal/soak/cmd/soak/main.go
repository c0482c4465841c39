// Command soak runs randomized fault-injection tests against real instance
// processes, one run per seed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/soak"
)

func main() { os.Exit(run()) }

// run executes one test per seed and returns the exit code: 1 if any of them
// failed.
func run() int {
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	minutes := flag.Float64("minutes", 1, "duration of each run in minutes")
	processes := flag.Int("processes", 6, "instances")
	rate := flag.Float64("rate", 100, "new flows per second")
	program := flag.String("program", "target/chervilhaven-platform", "path of the program under test")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for n := range *seeds {
		violated, err := runSeed(ctx, soak.Config{
			Seed: *seed + uint64(n), Duration: time.Duration(*minutes * float64(time.Minute)), Processes: *processes, Rate: *rate, Program: *program,
			Log: func(string, ...any) {},
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return 1
		}
		if violated {
			failed++
		}
		if ctx.Err() != nil {
			break
		}
	}
	fmt.Printf("%d seeds, %d failed\n", *seeds, failed)
	return min(failed, 1)
}

// runSeed executes one run, prints its result and reports whether a guarantee was
// violated. In that case it keeps the directory with the settings and logs.
func runSeed(ctx context.Context, c soak.Config) (bool, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return false, err
	}
	c.Dir = dir
	var events []string
	c.Log = func(format string, args ...any) { events = append(events, fmt.Sprintf(format, args...)) }
	r, err := soak.Run(ctx, c)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d of %d flows answered, %d promises broken\n", c.Seed, r.Answered, r.Flows, len(r.Violations))
	if len(r.Violations) == 0 {
		return false, os.RemoveAll(dir)
	}
	for _, e := range events {
		fmt.Println("  fault", e)
	}
	for _, v := range r.Violations {
		fmt.Println("  broke", v)
	}
	fmt.Println("  logs in", filepath.Clean(dir))
	return true, nil
}
