package soak

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/kvstore"
)

const (
	// copyInterval is the time between copies of the store. It is restored from one of
	// the last maxCopies.
	copyInterval = time.Second
	maxCopies    = 15
	// maxRestoreOutage bounds the time for which the store is away before it is back
	// from a copy.
	maxRestoreOutage = 2 * time.Second
	// entryLease is the time after which the entry of a crashed upstream lapses.
	entryLease = 3 * heartbeatInterval
	// settledFor is how long a route has to be in the configuration, and all instances
	// undisturbed, for the route to be expected in effect at every moment.
	settledFor = 5 * time.Second
	// routeCheckInterval and routeChecks spread the checks of a route over the time
	// in which the restored store lacks what was written after the copy.
	routeCheckInterval = 100 * time.Millisecond
	routeChecks        = 15
)

// keepCopies copies the store regularly until the run ends.
func (s *Testbed) keepCopies() {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			s.copies = append(s.copies, s.store.Copy())
			s.copies = s.copies[max(0, len(s.copies)-maxCopies):]
			s.mu.Unlock()
		case <-s.done:
			return
		}
	}
}

// restoreStore takes the store down and brings it back with the content of a copy.
// Operators and upstreams write again what it has lost.
func (s *Testbed) restoreStore(duration time.Duration) {
	s.mu.Lock()
	var older *kvstore.Copy
	if len(s.copies) > 0 {
		older = s.copies[s.random.IntN(len(s.copies))]
	}
	operatorDelay := time.Duration(s.random.Int64N(int64(republishDelay)))
	s.mu.Unlock()
	if older == nil {
		return
	}
	s.store.SetFaultMode(kvstore.Reset)
	s.schedule(min(duration, maxRestoreOutage), func() {
		s.store.Restore(older)
		s.store.SetFaultMode(kvstore.NoFault)
		s.checkSettledRoute()
		s.schedule(operatorDelay, s.writeOperatorKeys)
		for _, u := range s.allUpstreams() {
			delay := time.Duration(rand.Int64N(int64(republishDelay)))
			if u.crashed.Load() {
				delay = entryLease
			}
			s.schedule(delay, func() { s.writeEntry(u) })
		}
	})
}

// writeOperatorKeys writes the current configuration and the data centres that are out.
func (s *Testbed) writeOperatorKeys() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeConfiguration()
	for _, name := range dataCentres() {
		key := "op/evacuate/" + name
		switch out := !s.outSince[name].IsZero(); {
		case out && !s.store.Has(key, nil):
			s.store.Put(key, []byte("{}"))
		case !out && s.store.Has(key, nil):
			s.store.Delete(key)
		}
	}
}

// writeEntry writes the current entry of an upstream if it differs from that in the
// store, and removes that of a crashed one.
func (s *Testbed) writeEntry(u *upstream) {
	u.mu.Lock()
	state := "ready"
	if !u.drainingSince.IsZero() {
		state = "draining"
	}
	cold := max(0, time.Until(u.coldUntil))
	u.mu.Unlock()
	key, entry := "servers/"+u.id, []byte(u.entry(state, cold))
	switch {
	case u.crashed.Load() && s.store.Has(key, nil):
		s.store.Delete(key)
	case !u.crashed.Load() && !s.store.Has(key, entry):
		s.store.Put(key, entry)
	}
}

// checkSettledRoute opens flows to the newest of the routes that have been in effect
// for a while. No instance may refuse them.
func (s *Testbed) checkSettledRoute() {
	var route netip.AddrPort
	s.mu.Lock()
	for a, added := range s.addedAt {
		if _, ok := s.routes[a]; ok && time.Since(added) > settledFor && added.After(s.addedAt[route]) {
			route = a
		}
	}
	s.mu.Unlock()
	if !route.IsValid() {
		return
	}
	for n := range routeChecks {
		s.schedule(time.Duration(n)*routeCheckInterval, func() {
			if !s.hasRoute(route) || !s.instancesUndisturbed() {
				return
			}
			s.openFlowFromRandomCaller(route, func(o outcome) {
				if o == outcomeRefused && s.hasRoute(route) && s.instancesUndisturbed() {
					s.journal.recordViolation(guaranteeRegress, "a flow to route %s was refused after the store was restored", route)
				}
			})
		})
	}
}

// instancesUndisturbed reports whether no fault but one of the store has affected any
// instance for settledFor.
func (s *Testbed) instancesUndisturbed() bool {
	for _, i := range s.instances {
		if !i.undisturbedFor(settledFor) {
			return false
		}
	}
	return true
}
