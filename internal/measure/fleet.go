package measure

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Times until the fleet detects a change or finishes one.
const (
	// gossipLow and gossipHigh bound the time until an instance learns of a
	// change that another one announces, detectLow and detectHigh the time
	// until it detects that another one is dead.
	gossipLow  = 100 * time.Millisecond
	gossipHigh = time.Second
	detectLow  = 2 * time.Second
	detectHigh = 3 * time.Second
	// stopLimit is the longest time that a planned stop may take.
	stopLimit = 20 * time.Second
)

// sendToFabric delivers a caller's packet to an instance chosen by a hash of the
// flow's number and the packet's number in the flow, so that the choice does not
// depend on the policy.
func (w *World) sendToFabric(s segment) {
	if len(w.fabric) == 0 {
		return
	}
	if s.packet.Role != flow.RoleOpen {
		w.result.Packets++
	}
	x := (s.caller.number*0x9e3779b97f4a7c15 + s.caller.packets) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	to := w.fabric[(x>>16)%uint64(len(w.fabric))]
	w.queue.after(callerDelay, func() { to.apply(&balancer.FabricPacket{Packet: s.packet}, s) })
}

// delay returns the one-way network delay between two data centres. It ignores
// partitions.
func (w *World) delay(a, b string) time.Duration {
	if a == b {
		return localDelay
	}
	return crossDelay
}

func (w *World) partitioned(a, b string) bool {
	return w.cutOff != "" && (a == w.cutOff) != (b == w.cutOff)
}

func (w *World) instance(id view.ID) *instance {
	for _, i := range w.instances {
		if i.self.ID == id {
			return i
		}
	}
	return nil
}

// randomDelay draws a delay between low and high, both included.
func (w *World) randomDelay(low, high time.Duration) time.Duration {
	return low + time.Duration(w.faults.Int64N(int64(high-low)+1))
}

// publish changes the configuration and distributes the new view, unless the
// platform is down.
func (w *World) publish(change func(s *view.Sources)) {
	change(&w.sources)
	w.sources.Version.Revision++
	w.latest = view.Compile(w.sources)
	if !w.platformDown {
		w.distributeView()
	}
}

// distributeView delivers the latest view to each instance after a random delay
// of its own.
func (w *World) distributeView() {
	latest := w.latest
	for _, i := range w.instances {
		w.queue.after(w.randomDelay(w.skewLow, w.skewHigh), func() { i.applyView(latest) })
	}
}

// announce informs all other instances that one has changed or is dead.
func (w *World) announce(changed *instance, dead bool, low, high time.Duration) {
	m := changed.self
	for _, i := range w.instances {
		if i != changed {
			w.queue.after(w.randomDelay(low, high), func() { i.updateMember(m, dead) })
		}
	}
}

// stopInstance starts a planned stop: the instance hands over its flows and
// then ends.
func (w *World) stopInstance(i *instance) {
	i.self.Leaving = true
	w.announce(i, false, gossipLow, gossipHigh)
	w.queue.after(fabricDelay, func() { w.withdraw(i) })
	i.apply(&balancer.StopRequested{}, segment{})
	w.queue.after(stopLimit, func() { w.endInstance(i) })
}

// endInstance ends the process of an instance whose handoff is complete.
func (w *World) endInstance(i *instance) {
	if !i.alive || i.stopped {
		return
	}
	i.stopped = true
	// The process stays up for a second after the fabric has withdrawn the
	// route to it.
	w.queue.after(fabricDelay+time.Second, func() {
		i.alive = false
		w.announce(i, true, gossipLow, gossipHigh)
	})
}

// killInstance ends an instance without a handoff.
func (w *World) killInstance(i *instance) {
	i.alive = false
	w.queue.after(fabricDelay, func() { w.withdraw(i) })
	w.announce(i, true, detectLow, detectHigh)
}

// pauseInstance suspends an instance's process for a time. The others consider
// it dead and learn that it is alive once it resumes.
func (w *World) pauseInstance(i *instance, d time.Duration) {
	i.pause(d)
	w.queue.after(fabricDelay, func() { w.withdraw(i) })
	w.announce(i, true, detectLow, detectHigh)
	w.queue.after(d, func() {
		w.announce(i, false, gossipLow, gossipHigh)
		w.queue.after(fabricDelay, func() { w.fabric = append(slices.Clone(w.fabric), i) })
	})
}

// withdraw removes an instance from the routes of the fabric.
func (w *World) withdraw(i *instance) {
	w.fabric = slices.DeleteFunc(slices.Clone(w.fabric), func(other *instance) bool { return other == i })
}

// partition separates a data centre from the others for a time.
func (w *World) partition(dataCentre string, d time.Duration) {
	w.cutOff = dataCentre
	w.setReachability(dataCentre, true, detectLow, detectHigh)
	w.queue.after(d, func() {
		w.cutOff = ""
		w.setReachability(dataCentre, false, gossipLow, gossipHigh)
		w.distributeView()
	})
}

// setReachability marks the members on the other side of a partition as
// unreachable, or as reachable again.
func (w *World) setReachability(dataCentre string, unreachable bool, low, high time.Duration) {
	for _, i := range w.instances {
		w.queue.after(w.randomDelay(low, high), func() {
			for id, m := range i.known {
				if (m.DataCentre == dataCentre) != (i.self.DataCentre == dataCentre) {
					m.Unreachable = unreachable
					i.known[id] = m
				}
			}
			i.applyMembers()
		})
	}
}

// takeDataCentreOut takes a data centre out of service. The fabric withdraws
// its instances after fabricDelay.
func (w *World) takeDataCentreOut(dataCentre string) {
	w.outSince[dataCentre] = w.queue.now
	w.publish(func(s *view.Sources) { s.Moves.Out = append(slices.Clone(s.Moves.Out), dataCentre) })
	for _, i := range w.instances {
		if i.self.DataCentre == dataCentre {
			w.queue.after(fabricDelay, func() { w.withdraw(i) })
		}
	}
}

// returnDataCentre puts a data centre back into service. Its upstreams start
// cold.
func (w *World) returnDataCentre(dataCentre string) {
	delete(w.outSince, dataCentre)
	w.publish(func(s *view.Sources) {
		s.Moves.Out = slices.DeleteFunc(slices.Clone(s.Moves.Out), func(name string) bool { return name == dataCentre })
	})
	for _, u := range w.upstreams {
		if u.dataCentre == dataCentre {
			clear(u.connections)
			u.start()
		}
	}
	for _, i := range w.instances {
		if i.self.DataCentre == dataCentre {
			w.queue.after(fabricDelay, func() { w.fabric = append(slices.Clone(w.fabric), i) })
		}
	}
}

// addUpstreams adds cold upstreams to the service in the data centre.
func (w *World) addUpstreams(n, count int, service string, number uint32) {
	w.publish(func(s *view.Sources) {
		s.DataCentres = slices.Clone(s.DataCentres)
		dataCentre := &s.DataCentres[n]
		dataCentre.Upstreams = slices.Clone(dataCentre.Upstreams)
		first := 0
		for _, u := range dataCentre.Upstreams {
			if u.Service == service {
				first++
			}
		}
		for index := range count {
			listed := newUpstream(dataCentre.Name, n, service, number, first+index)
			dataCentre.Upstreams = append(dataCentre.Upstreams, listed)
			w.addUpstream(dataCentre.Name, listed).start()
		}
	})
}

// drainFirstUpstream drains the first upstream of the data centre: it finishes
// its flows and gets no new ones.
func (w *World) drainFirstUpstream(index int) {
	w.publish(func(s *view.Sources) {
		s.DataCentres = slices.Clone(s.DataCentres)
		dataCentre := &s.DataCentres[index]
		dataCentre.Upstreams = slices.Clone(dataCentre.Upstreams)
		dataCentre.Upstreams[0].State = inventory.UpstreamDraining
		w.upstreams[dataCentre.Upstreams[0].Packets].drainingSince = w.queue.now
	})
}
