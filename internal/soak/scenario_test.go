package soak

import (
	"context"
	"testing"
	"time"
)

// The result of a run is read after the scenario, so no flow may start later.
// The race detector reports a flow that does.
func TestNoFlowStartsAfterScenario(t *testing.T) {
	f, err := newFabric()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.socket.Close() }) // The test is over.
	started := 0
	for range 100 {
		s := &Testbed{
			config: Config{Rate: 100_000}, journal: &journal{startedAt: time.Now()}, fabric: f, done: make(chan struct{}),
		}
		s.callers = []*caller{{testbed: s, address: mainRoute().Addr(), flows: make(map[uint16]*flow)}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		s.runScenario(ctx)
		cancel()
		started += s.journal.startedFlows
	}
	if started == 0 {
		t.Error("no flow started")
	}
}
