package deployment

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/caller"
	"github.com/chervilhaven/chervilhaven/internal/fake/fabric"
	"github.com/chervilhaven/chervilhaven/internal/fake/upstream"
)

const sampleInterval = 20 * time.Millisecond

// openFlowSamples holds, for each upstream, the sum of its open flows over all
// samples.
type openFlowSamples struct {
	openFlows map[string]int
	samples   int
}

// Result holds the counters of callers, fabric, upstreams and platform.
type Result struct {
	Caller caller.Result
	Fabric fabric.Counts
	// Upstreams is the sum over all upstreams.
	Upstreams upstream.Counts
	// Imbalance is the largest time-averaged number of open flows of an upstream
	// of a service, divided by the mean over the service's upstreams. It is the
	// maximum over all services. Upstreams without flows and those affected by
	// an event are excluded.
	Imbalance float64
	// PlatformReads is the number of reads from the platform. A watch counts as
	// one read.
	PlatformReads int
	// Open is the number of flows that are open or waiting for a retry.
	Open int
}

// UnmonitoredError reports upstreams whose health no instance has read.
type UnmonitoredError struct{ Upstreams []string }

// Error returns the names of the upstreams.
func (e *UnmonitoredError) Error() string {
	return fmt.Sprintf("no instance has read the health of upstreams %s", strings.Join(e.Upstreams, ", "))
}

// WaitUntilMonitored waits until the health of every upstream has been read,
// which shows that instances own and monitor all of them. It returns an
// *UnmonitoredError if the context is done first.
func (s *Deployment) WaitUntilMonitored(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		var unmonitored []string
		for _, e := range s.Endpoints {
			if e.Counts().HealthReads == 0 {
				unmonitored = append(unmonitored, e.Name)
			}
		}
		if len(unmonitored) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &UnmonitoredError{Upstreams: unmonitored}
		case <-ticker.C:
		}
	}
}

// sampleOpenFlows periodically samples the open flows of all upstreams until
// the context is done.
func (s *Deployment) sampleOpenFlows(ctx context.Context) {
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

func (s *Deployment) recordOpenFlows() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.openFlowSamples.samples++
	for _, e := range s.Endpoints {
		s.openFlowSamples.openFlows[e.Name] += e.Open()
	}
}

// Result returns the counters so far.
func (s *Deployment) Result() Result {
	r := Result{
		Caller: s.Caller.Result(), Fabric: s.Fabric.Counts(),
		Imbalance: s.imbalance(), PlatformReads: s.Platform.Reads(), Open: s.Caller.Open(),
	}
	for _, e := range s.Endpoints {
		r.Upstreams = r.Upstreams.Add(e.Counts())
	}
	return r
}

func (s *Deployment) imbalance() float64 {
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
