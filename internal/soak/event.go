package soak

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/fault"
	"github.com/chervilhaven/chervilhaven/internal/fake/kvstore"
)

const (
	// meanEventInterval is the mean time between the starts of two events. It is
	// shorter than most faults, so that some overlap.
	meanEventInterval = 1500 * time.Millisecond
	// phaseLength is the length of a phase. Phases that allow faults alternate
	// with phases of planned work only. It exceeds the sum of the longest fault,
	// its settle time and a bound, so that bounds are checked in every phase of
	// planned work.
	phaseLength = 15 * time.Second
	// Faults last 500 ms plus a random part below faultDurationRange.
	faultDurationRange = 4 * time.Second
	coldPeriod         = 2 * time.Second
	// upstreamRestartTime is the time from the crash of an upstream to its next start.
	upstreamRestartTime = 1200 * time.Millisecond
	// republishDelay is the time after which upstreams write their expired
	// entries again once the store is back.
	republishDelay = 1500 * time.Millisecond
	// pressureInterval is the time between two pairs of flows under pressure, which lasts
	// for maxPressure at most.
	pressureInterval = time.Millisecond
	maxPressure      = 1500 * time.Millisecond
	// finalQuietPeriod is the time without new events at the end of a run.
	finalQuietPeriod = recoveryBound + 5*time.Second
)

// eventKind is one kind of fault or planned work. Bounds are checked during
// planned work but not during faults.
type eventKind struct {
	name    string
	planned bool
	start   func(s *Testbed, duration time.Duration)
}

func allEventKinds() []eventKind {
	return []eventKind{
		{"kill one", false, func(s *Testbed, duration time.Duration) { s.any().kill(duration) }},
		{"kill all", false, func(s *Testbed, duration time.Duration) { s.killAll(duration / 2) }},
		{"stop one", true, func(s *Testbed, _ time.Duration) { s.any().terminate() }},
		{"pause one", false, func(s *Testbed, duration time.Duration) { s.pause(s.any(), duration) }},
		{"reload with other seeds", true, func(s *Testbed, _ time.Duration) { s.reload() }},
		{"store silent", false, func(s *Testbed, duration time.Duration) { s.setStoreFault(kvstore.Unresponsive, duration) }},
		{"store busy", false, func(s *Testbed, duration time.Duration) { s.setStoreFault(kvstore.Unavailable, duration) }},
		{"store limits", false, func(s *Testbed, duration time.Duration) { s.setStoreFault(kvstore.RateLimited, duration) }},
		{"store resets", false, func(s *Testbed, duration time.Duration) { s.setStoreFault(kvstore.Reset, duration) }},
		{"store slow", false, func(s *Testbed, duration time.Duration) { s.slowStore(duration) }},
		{"store turns some away", false, func(s *Testbed, duration time.Duration) { s.partitionStore(duration) }},
		{"entries lapse", false, func(s *Testbed, duration time.Duration) { s.expireEntries(duration) }},
		{"history lost", true, func(s *Testbed, _ time.Duration) { s.store.Compact() }},
		{"store restored", false, func(s *Testbed, duration time.Duration) { s.restoreStore(duration) }},
		{"packets lost", false, func(s *Testbed, duration time.Duration) { s.dropPackets(duration) }},
		{"upstream crashes", false, func(s *Testbed, _ time.Duration) { s.crashUpstream() }},
		{"upstream falls silent", true, func(s *Testbed, _ time.Duration) { s.silenceUpstream() }},
		{"pressure", false, func(s *Testbed, duration time.Duration) { s.press(duration) }},
		{"upstream restarts", false, func(s *Testbed, duration time.Duration) { s.restartUpstream(duration) }},
		{"upstream drains", true, func(s *Testbed, _ time.Duration) { s.drainUpstream() }},
		{"data centre out", true, func(s *Testbed, duration time.Duration) { s.takeOutDataCentre(duration) }},
		{"route added", true, func(s *Testbed, _ time.Duration) { s.addRoute() }},
		{"route removed", true, func(s *Testbed, _ time.Duration) { s.removeRoute() }},
		{"odd entries", true, func(s *Testbed, _ time.Duration) { s.putOddEntries() }},
	}
}

// runScenario generates load and starts random events for the duration of the
// run. At the end it checks that the deployment has recovered from them. No flow
// starts after it has returned.
func (s *Testbed) runScenario(ctx context.Context) {
	stopLoad := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { s.generateLoad(stopLoad) })
	defer load.Wait()
	defer close(stopLoad)
	end := s.journal.startedAt.Add(s.config.Duration)
	s.sleep(ctx, warmUp)
	for time.Until(end) > finalQuietPeriod && ctx.Err() == nil {
		kinds := s.allowedEventKinds()
		event := kinds[s.random.IntN(len(kinds))]
		duration := 500*time.Millisecond + time.Duration(s.random.Int64N(int64(faultDurationRange)))
		s.config.Log("%8.3f %s for %s", time.Since(s.journal.startedAt).Seconds(), event.name, duration)
		if !event.planned {
			s.journal.recordFault(time.Now().Add(duration))
		}
		event.start(s, duration)
		s.sleep(ctx, time.Duration(s.random.Int64N(int64(2*meanEventInterval))))
	}
	quietStart := time.Now()
	s.sleep(ctx, time.Until(end))
	if ctx.Err() != nil {
		return
	}
	s.journal.checkUrgent()
	if ratio := s.journal.answeredRatio(quietStart.Add(recoveryBound), end.Add(-flowTimeout)); ratio < minAnsweredRatio {
		s.journal.recordViolation(guaranteeRecovery, "ratio of responses to new flows is %.2f, measured from %s after the last event", ratio, recoveryBound)
	}
}

// allowedEventKinds returns the kinds of event of the current phase: faults and
// planned work, or planned work only so that all bounds are checked.
func (s *Testbed) allowedEventKinds() []eventKind {
	plannedOnly := time.Since(s.journal.startedAt)%(2*phaseLength) >= phaseLength
	var list []eventKind
	for _, d := range allEventKinds() {
		allowed := d.planned || !plannedOnly
		if len(s.config.Only) > 0 {
			allowed = allowed && slices.Contains(s.config.Only, d.name)
		}
		if allowed {
			list = append(list, d)
		}
	}
	return list
}

func (s *Testbed) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// schedule runs a task after a delay, unless the run ends first.
func (s *Testbed) schedule(d time.Duration, task func()) {
	s.tasks.Go(func() {
		select {
		case <-time.After(d):
			task()
		case <-s.done:
		}
	})
}

// any returns a random instance.
func (s *Testbed) any() *instance { return s.instances[s.random.IntN(len(s.instances))] }

func (s *Testbed) killAll(duration time.Duration) {
	for _, i := range s.instances {
		i.kill(duration)
	}
}

func (s *Testbed) pause(i *instance, duration time.Duration) {
	i.recordDisturbance(duration)
	i.signal(syscall.SIGSTOP)
	s.schedule(duration, func() { i.signal(syscall.SIGCONT) })
}

func (s *Testbed) reload() {
	i := s.any()
	if err := i.writeSettings([]int{s.random.IntN(len(s.instances)), s.random.IntN(len(s.instances))}); err != nil {
		s.journal.recordViolation("stand-in", "write settings: %v", err)
	}
	i.signal(syscall.SIGHUP)
}

func (s *Testbed) setStoreFault(t kvstore.FaultMode, duration time.Duration) {
	s.store.SetFaultMode(t)
	s.schedule(duration, func() { s.store.SetFaultMode(kvstore.NoFault) })
}

func (s *Testbed) slowStore(duration time.Duration) {
	s.store.SetDelay(200 * time.Millisecond)
	s.schedule(duration, func() { s.store.SetDelay(0) })
}

func (s *Testbed) partitionStore(duration time.Duration) {
	for _, i := range s.instances {
		if s.random.IntN(3) == 0 {
			i.recordDisturbance(duration)
			i.proxy.SetFaults(fault.Faults{Partition: true})
			s.schedule(duration, func() { i.proxy.SetFaults(fault.Faults{}) })
		}
	}
}

// expireEntries deletes the entries of all active upstreams while the store is
// silent, as if their leases had expired, and writes them again later.
func (s *Testbed) expireEntries(duration time.Duration) {
	s.store.SetFaultMode(kvstore.Unresponsive)
	for _, u := range s.activeUpstreams() {
		s.store.Delete("servers/" + u.id)
	}
	s.schedule(duration, func() { s.store.SetFaultMode(kvstore.NoFault) })
	s.schedule(duration+republishDelay, func() {
		for _, u := range s.activeUpstreams() {
			s.store.Put("servers/"+u.id, []byte(u.entry("ready", 0)))
		}
	})
}

func (s *Testbed) dropPackets(duration time.Duration) {
	s.fabric.setFaults(0.05, 5*time.Millisecond)
	s.schedule(duration, func() { s.fabric.setFaults(0, 0) })
}

// allUpstreams returns the upstreams that were ever started.
func (s *Testbed) allUpstreams() []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.upstreams)
}

// activeUpstreams returns the upstreams that have neither crashed nor started to
// drain.
func (s *Testbed) activeUpstreams() []*upstream {
	// Lock order: an upstream takes the lock of the testbed while it holds its
	// own, so s.mu must not be held here.
	return slices.DeleteFunc(s.allUpstreams(), func(u *upstream) bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.crashed.Load() || !u.drainingSince.IsZero()
	})
}

// startReplacement adds a cold upstream with the service and data centre of u.
func (s *Testbed) startReplacement(u *upstream) {
	if err := s.addUpstream(u.service, u.dataCentre, coldPeriod); err != nil {
		s.journal.recordViolation("stand-in", "%v", err)
	}
}

func (s *Testbed) crashUpstream() {
	list := s.activeUpstreams()
	u := list[s.random.IntN(len(list))]
	s.startReplacement(u)
	u.crashed.Store(true)
	_ = u.socket.Close() // A crashed process closes its socket.
	s.schedule(2*time.Second, func() { s.store.Delete("servers/" + u.id) })
}

// silenceUpstream makes an upstream fall silent for good, as if the power of its machine
// failed.
func (s *Testbed) silenceUpstream() {
	list := s.activeUpstreams()
	u := list[s.random.IntN(len(list))]
	s.startReplacement(u)
	u.crashed.Store(true)
	s.schedule(4*time.Second, func() { s.store.Delete("servers/" + u.id) })
}

// press opens more flows than the upstreams can serve, as many urgent ones as others.
func (s *Testbed) press(duration time.Duration) {
	j := s.journal
	end := time.Now().Add(min(duration, maxPressure))
	var next func()
	next = func() {
		for destination, c := range map[netip.AddrPort]*classCount{mainRoute(): &j.urgent, streamRoute(): &j.patient} {
			answered := j.recordPressure(c)
			s.openFlowFromRandomCaller(destination, func(o outcome) {
				if o == outcomeAnswered {
					answered()
				}
			})
		}
		if time.Now().Before(end) {
			s.schedule(pressureInterval, next)
		}
	}
	next()
}

// restartUpstream crashes an upstream while the store is silent and starts it again
// under its id. Its new entry is written when the store answers again.
func (s *Testbed) restartUpstream(duration time.Duration) {
	list := s.activeUpstreams()
	u := list[s.random.IntN(len(list))]
	s.store.SetFaultMode(kvstore.Unresponsive)
	u.crashed.Store(true)
	s.schedule(upstreamRestartTime, func() { u.restart(coldPeriod) })
	s.schedule(upstreamRestartTime+duration, func() {
		s.store.SetFaultMode(kvstore.NoFault)
		s.writeEntry(u)
	})
}

func (s *Testbed) drainUpstream() {
	list := s.activeUpstreams()
	u := list[s.random.IntN(len(list))]
	s.startReplacement(u)
	s.store.Put("servers/"+u.id, []byte(u.entry("draining", 0)))
	u.mu.Lock()
	u.drainingSince = time.Now()
	u.mu.Unlock()
}

func (s *Testbed) takeOutDataCentre(duration time.Duration) {
	name := dataCentres()[s.random.IntN(3)]
	if !s.dataCentreOutSince(name).IsZero() {
		return
	}
	s.store.Put("op/evacuate/"+name, []byte("{}"))
	s.mu.Lock()
	s.outSince[name] = time.Now()
	s.mu.Unlock()
	s.schedule(duration+dataCentreOutBound, func() {
		s.mu.Lock()
		delete(s.outSince, name)
		s.mu.Unlock()
		s.store.Delete("op/evacuate/" + name)
	})
}

// addRoute publishes a route and checks that it serves flows once configBound has
// passed.
func (s *Testbed) addRoute() {
	s.mu.Lock()
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(len(s.everRouted))}), 8443)
	s.routes[a], s.addedAt[a] = "desk", time.Now()
	s.mu.Unlock()
	s.publish()
	s.schedule(configBound+schedulingTolerance, func() {
		if s.hasRoute(a) && s.journal.undisturbedFor(configBound) {
			s.openFlowFromRandomCaller(a, func(o outcome) {
				if o == outcomeRefused && s.hasRoute(a) {
					s.journal.recordViolation(guaranteeConfiguration, "a flow to route %s was refused %s after the route was added", a, configBound)
				}
			})
		}
	})
}

// putOddEntries leaves entries among those of the upstreams that no upstream writes.
func (s *Testbed) putOddEntries() {
	u := s.activeUpstreams()[0]
	entry := u.entry("ready", 0)
	for key, value := range map[string]string{
		"i-junk": `{"service":1}`,
		"i-f1":   strings.Replace(entry, `"slots":2`, `"slots":4611686018427387904`, 1),
		"i-f2":   strings.Replace(entry, u.address.String(), "127.0.0.1:70000", 1),
		"i-f3":   strings.Replace(entry, `"sequence":1`, `"sequence":`+strings.Repeat("[", 1<<17), 1),
	} {
		s.store.Put("servers/"+key, []byte(value))
	}
}

func (s *Testbed) hasRoute(a netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.routes[a]
	return ok
}

// removeRoute removes one of the added routes and checks that it no longer serves
// flows once configBound has passed.
func (s *Testbed) removeRoute() {
	var removed netip.AddrPort
	s.mu.Lock()
	for a := range s.routes {
		if a != mainRoute() && a != bulkRoute() && a != streamRoute() {
			removed = a
		}
	}
	delete(s.routes, removed)
	s.mu.Unlock()
	if !removed.IsValid() {
		return
	}
	s.publish()
	s.schedule(configBound+schedulingTolerance, func() {
		if s.journal.undisturbedFor(configBound) {
			s.openFlowFromRandomCaller(removed, func(o outcome) {
				if o == outcomeAnswered {
					s.journal.recordViolation(guaranteeConfiguration, "a flow to route %s was answered %s after the route was removed", removed, configBound)
				}
			})
		}
	})
}
