package soak

import (
	"context"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/fault"
	"github.com/chervilhaven/chervilhaven/internal/fake/kvstore"
)

const (
	// faultGap is the usual time between the beginnings of two faults, so that
	// some overlap.
	faultGap = 1500 * time.Millisecond
	// phase is the length of a time with faults, and of one with planned work
	// alone: longer than the longest fault, the time after it, and a bound.
	phase       = 15 * time.Second
	longestDown = 4 * time.Second
	coldFor     = 2 * time.Second
	// returnAfter is the time in which entries that lapsed come back.
	returnAfter = 1500 * time.Millisecond
	// settleAtEnd is the time without faults at the end of a run.
	settleAtEnd = recoveryBound + 5*time.Second
)

// disturbance is one kind of fault or of planned work; bounds hold during the
// latter.
type disturbance struct {
	name    string
	planned bool
	begin   func(s *Site, down time.Duration)
}

func disturbances() []disturbance {
	return []disturbance{
		{"kill one", false, func(s *Site, down time.Duration) { s.any().kill(down) }},
		{"kill all", false, func(s *Site, down time.Duration) { s.killAll(down / 2) }},
		{"stop one", true, func(s *Site, _ time.Duration) { s.any().terminate() }},
		{"pause one", false, func(s *Site, down time.Duration) { s.pause(s.any(), down) }},
		{"reload with other seeds", true, func(s *Site, _ time.Duration) { s.reload() }},
		{"store silent", false, func(s *Site, down time.Duration) { s.storeTrouble(kvstore.Unresponsive, down) }},
		{"store busy", false, func(s *Site, down time.Duration) { s.storeTrouble(kvstore.Unavailable, down) }},
		{"store limits", false, func(s *Site, down time.Duration) { s.storeTrouble(kvstore.RateLimited, down) }},
		{"store resets", false, func(s *Site, down time.Duration) { s.storeTrouble(kvstore.Reset, down) }},
		{"store slow", false, func(s *Site, down time.Duration) { s.storeSlow(down) }},
		{"store turns some away", false, func(s *Site, down time.Duration) { s.turnAway(down) }},
		{"entries lapse", false, func(s *Site, down time.Duration) { s.lapse(down) }},
		{"history lost", true, func(s *Site, _ time.Duration) { s.store.Compact() }},
		{"packets lost", false, func(s *Site, down time.Duration) { s.lose(down) }},
		{"upstream crashes", false, func(s *Site, _ time.Duration) { s.crash() }},
		{"upstream drains", true, func(s *Site, _ time.Duration) { s.drain() }},
		{"data centre out", true, func(s *Site, down time.Duration) { s.takeOut(down) }},
		{"route added", true, func(s *Site, _ time.Duration) { s.addRoute() }},
		{"route removed", true, func(s *Site, _ time.Duration) { s.removeRoute() }},
		{"malformed entry", true, func(s *Site, _ time.Duration) { s.store.Put("servers/i-junk", []byte(`{"service":1}`)) }},
	}
}

// play runs load and faults for the time of the run.
func (s *Site) play(ctx context.Context) {
	load := make(chan struct{})
	s.tasks.Go(func() { s.load(load) })
	defer close(load)
	end := s.journal.begun.Add(s.config.Duration)
	s.sleep(ctx, warmUp)
	for time.Until(end) > settleAtEnd && ctx.Err() == nil {
		kinds := s.kinds()
		d := kinds[s.random.IntN(len(kinds))]
		down := 500*time.Millisecond + time.Duration(s.random.Int64N(int64(longestDown)))
		s.config.Log("%8.3f %s for %s", time.Since(s.journal.begun).Seconds(), d.name, down)
		if !d.planned {
			s.journal.disturb(time.Now().Add(down))
		}
		d.begin(s, down)
		s.sleep(ctx, time.Duration(s.random.Int64N(int64(2*faultGap))))
	}
	quiet := time.Now()
	s.sleep(ctx, time.Until(end))
	if ctx.Err() != nil {
		return
	}
	if share := s.journal.servedBetween(quiet.Add(recoveryBound), end.Add(-giveUp)); share < recoveredShare {
		s.journal.broke(promiseRecovery, "%.2f of the flows are answered %s after the last fault", share, recoveryBound)
	}
}

// kinds returns what may happen now: faults and planned work by turns with
// planned work alone, in which all bounds hold.
func (s *Site) kinds() []disturbance {
	calm := time.Since(s.journal.begun)%(2*phase) >= phase
	var list []disturbance
	for _, d := range disturbances() {
		chosen := d.planned || !calm
		if len(s.config.Only) > 0 {
			chosen = slices.Contains(s.config.Only, d.name)
		}
		if chosen {
			list = append(list, d)
		}
	}
	return list
}

func (s *Site) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// later runs a task unless the run is over by then.
func (s *Site) later(d time.Duration, task func()) {
	s.tasks.Go(func() {
		select {
		case <-time.After(d):
			task()
		case <-s.done:
		}
	})
}

func (s *Site) any() *instance { return s.instances[s.random.IntN(len(s.instances))] }

func (s *Site) killAll(down time.Duration) {
	for _, i := range s.instances {
		i.kill(down)
	}
}

func (s *Site) pause(i *instance, down time.Duration) {
	i.signal(syscall.SIGSTOP)
	s.later(down, func() { i.signal(syscall.SIGCONT) })
}

func (s *Site) reload() {
	i := s.any()
	if err := i.write([]int{s.random.IntN(len(s.instances)), s.random.IntN(len(s.instances))}); err != nil {
		s.journal.broke("stand-in", "settings: %v", err)
	}
	i.signal(syscall.SIGHUP)
}

func (s *Site) storeTrouble(t kvstore.FaultMode, down time.Duration) {
	s.store.SetFaultMode(t)
	s.later(down, func() { s.store.SetFaultMode(kvstore.NoFault) })
}

func (s *Site) storeSlow(down time.Duration) {
	s.store.SetDelay(200 * time.Millisecond)
	s.later(down, func() { s.store.SetDelay(0) })
}

func (s *Site) turnAway(down time.Duration) {
	for _, i := range s.instances {
		if s.random.IntN(3) == 0 {
			i.proxy.SetFaults(fault.Faults{Partition: true})
			s.later(down, func() { i.proxy.SetFaults(fault.Faults{}) })
		}
	}
}

// lapse removes the entries of living upstreams while the store is away.
func (s *Site) lapse(down time.Duration) {
	s.store.SetFaultMode(kvstore.Unresponsive)
	for _, u := range s.living() {
		s.store.Delete("servers/" + u.id)
	}
	s.later(down, func() { s.store.SetFaultMode(kvstore.NoFault) })
	s.later(down+returnAfter, func() {
		for _, u := range s.living() {
			s.store.Put("servers/"+u.id, []byte(u.entry("ready", 0)))
		}
	})
}

func (s *Site) lose(down time.Duration) {
	s.fabric.disturb(0.05, 5*time.Millisecond)
	s.later(down, func() { s.fabric.disturb(0, 0) })
}

// living returns the upstreams that serve.
func (s *Site) living() []*upstream {
	s.mu.Lock()
	all := slices.Clone(s.upstreams)
	s.mu.Unlock()
	// An upstream asks the site while it is locked, never the reverse.
	return slices.DeleteFunc(all, func(u *upstream) bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.crashed.Load() || !u.draining.IsZero()
	})
}

// replace starts a cold upstream in the place of another one.
func (s *Site) replace(u *upstream) {
	if err := s.addUpstream(u.service, u.dataCentre, coldFor); err != nil {
		s.journal.broke("stand-in", "%v", err)
	}
}

func (s *Site) crash() {
	list := s.living()
	u := list[s.random.IntN(len(list))]
	s.replace(u)
	u.crashed.Store(true)
	_ = u.socket.Close() // The crash.
	s.later(2*time.Second, func() { s.store.Delete("servers/" + u.id) })
}

func (s *Site) drain() {
	list := s.living()
	u := list[s.random.IntN(len(list))]
	s.replace(u)
	s.store.Put("servers/"+u.id, []byte(u.entry("draining", 0)))
	u.mu.Lock()
	u.draining = time.Now()
	u.mu.Unlock()
}

func (s *Site) takeOut(down time.Duration) {
	name := dataCentres()[s.random.IntN(3)]
	if !s.outSince(name).IsZero() {
		return
	}
	s.store.Put("op/evacuate/"+name, []byte("{}"))
	s.mu.Lock()
	s.out[name] = time.Now()
	s.mu.Unlock()
	s.later(down+outBound, func() {
		s.mu.Lock()
		delete(s.out, name)
		s.mu.Unlock()
		s.store.Delete("op/evacuate/" + name)
	})
}

// addRoute publishes a route and checks later that it is served.
func (s *Site) addRoute() {
	s.mu.Lock()
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(len(s.ever))}), 8443)
	s.routes[a] = "desk"
	s.mu.Unlock()
	s.publish()
	s.later(configBound+scheduleSlack, func() {
		if s.has(a) && s.journal.settled(configBound) {
			s.call(a, func(o outcome) {
				if o == refused && s.has(a) {
					s.journal.broke(promiseConfig, "%s was refused %s after it was added", a, configBound)
				}
			})
		}
	})
}

func (s *Site) has(a netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.routes[a]
	return ok
}

// removeRoute drops an added route and checks later that it is not served.
func (s *Site) removeRoute() {
	var gone netip.AddrPort
	s.mu.Lock()
	for a := range s.routes {
		if a != mainRoute() && a != bulkRoute() {
			gone = a
		}
	}
	delete(s.routes, gone)
	s.mu.Unlock()
	if !gone.IsValid() {
		return
	}
	s.publish()
	s.later(configBound+scheduleSlack, func() {
		if s.journal.settled(configBound) {
			s.call(gone, func(o outcome) {
				if o == answered {
					s.journal.broke(promiseConfig, "%s was served %s after it was removed", gone, configBound)
				}
			})
		}
	})
}
