package site

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/standin/caller"
	"github.com/chervilhaven/chervilhaven/internal/standin/fabric"
	"github.com/chervilhaven/chervilhaven/internal/standin/upstream"
)

const sampleInterval = 20 * time.Millisecond

// openFlowSamples adds up the open flows of each upstream over time.
type openFlowSamples struct {
	openFlows map[string]int
	samples   int
}

// Result is what callers, upstreams, fabric and platform counted.
type Result struct {
	Caller caller.Result
	Fabric fabric.Counts
	// Upstreams is the sum over all upstreams.
	Upstreams upstream.Counts
	// Imbalance is the greatest over the mean of the open flows of upstreams,
	// averaged over time: the largest of all services. Upstreams that an event
	// has disturbed and idle ones are left out.
	Imbalance float64
	// PlatformReads counts a waiting watch as one.
	PlatformReads int
	// Open is the number of flows that are still open.
	Open int
}

// UnwatchedError names the upstreams that no instance has looked at in time.
type UnwatchedError struct{ Upstreams []string }

// Error returns the names.
func (e *UnwatchedError) Error() string {
	return fmt.Sprintf("no instance watches the upstreams %s", strings.Join(e.Upstreams, ", "))
}

// Ready waits until the health of every upstream was read, which tells that
// instances own them, or until the context ends.
func (s *Site) Ready(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		var unwatched []string
		for _, e := range s.Endpoints {
			if e.Counts().HealthReads == 0 {
				unwatched = append(unwatched, e.Name)
			}
		}
		if len(unwatched) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &UnwatchedError{Upstreams: unwatched}
		case <-ticker.C:
		}
	}
}

// sampleOpenFlows records the open flows until the context ends.
func (s *Site) sampleOpenFlows(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.recordOpenFlows()
		}
	}
}

func (s *Site) recordOpenFlows() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openFlowSamples.samples++
	for _, e := range s.Endpoints {
		s.openFlowSamples.openFlows[e.Name] += e.Open()
	}
}

// Result returns the counts so far.
func (s *Site) Result() Result {
	r := Result{
		Caller: s.Caller.Result(), Fabric: s.Fabric.Counts(),
		Imbalance: s.imbalance(), PlatformReads: s.Platform.Reads(), Open: s.Caller.Open(),
	}
	for _, e := range s.Endpoints {
		r.Upstreams = r.Upstreams.Add(e.Counts())
	}
	return r
}

func (s *Site) imbalance() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	worst := 1.0
	for _, service := range s.inventory.Services {
		sum, largest, counted := 0, 0, 0
		for _, e := range s.Endpoints {
			open := s.openFlowSamples.openFlows[e.Name]
			if e.Service != service.Name || e.ExcludedFromImbalance || open == 0 {
				continue
			}
			sum, largest, counted = sum+open, max(largest, open), counted+1
		}
		if counted > 0 {
			worst = max(worst, float64(largest)*float64(counted)/float64(sum))
		}
	}
	return worst
}
