package measure

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Times that the fleet takes to notice changes.
const (
	// noticeLow and noticeHigh bound the time until an instance learns of a
	// change that another one announces, detectLow and detectHigh of a death.
	noticeLow  = 100 * time.Millisecond
	noticeHigh = time.Second
	detectLow  = 2 * time.Second
	detectHigh = 3 * time.Second
	// leaveTime bounds a planned stop.
	leaveTime = 20 * time.Second
)

// spray hands a caller's packet to an instance drawn by flow and packet.
func (w *World) spray(s segment) {
	if len(w.fabric) == 0 {
		return
	}
	if s.packet.Role != flow.Open {
		w.result.Packets++
	}
	x := (s.caller.number*0x9e3779b97f4a7c15 + s.caller.packets) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	to := w.fabric[(x>>16)%uint64(len(w.fabric))]
	w.queue.after(callerDelay, func() { to.apply(&balancer.FabricPacket{Packet: s.packet}, s) })
}

// delay is the time between two data centres, cut tells whether a partition
// separates them.
func (w *World) delay(a, b string) time.Duration {
	if a == b {
		return localDelay
	}
	return crossDelay
}

func (w *World) cut(a, b string) bool {
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

// between draws a delay.
func (w *World) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.faults.Int64N(int64(high-low)+1))
}

// publish changes the sources and brings the new view to all instances.
func (w *World) publish(change func(s *view.Sources)) {
	change(&w.sources)
	w.sources.Version.Revision++
	w.latest = view.Compile(w.sources)
	if !w.platformDown {
		w.spread()
	}
}

// spread brings the latest view to each instance at its own time.
func (w *World) spread() {
	latest := w.latest
	for _, i := range w.instances {
		w.queue.after(w.between(w.skewLow, w.skewHigh), func() { i.changeView(latest) })
	}
}

// tell lets all other instances learn about one.
func (w *World) tell(about *instance, gone bool, low, high time.Duration) {
	m := about.self
	for _, i := range w.instances {
		if i != about {
			w.queue.after(w.between(low, high), func() { i.learn(m, gone) })
		}
	}
}

// stop asks an instance to hand over and end.
func (w *World) stop(i *instance) {
	i.self.Leaving = true
	w.tell(i, false, noticeLow, noticeHigh)
	w.queue.after(fabricDelay, func() { w.withdraw(i) })
	i.apply(&balancer.StopRequested{}, segment{})
	w.queue.after(leaveTime, func() { w.remove(i) })
}

// remove ends an instance that has handed over.
func (w *World) remove(i *instance) {
	if !i.alive || i.ending {
		return
	}
	i.ending = true
	// The process outlives the fabric's withdrawal by a second.
	w.queue.after(fabricDelay+time.Second, func() {
		i.alive = false
		w.tell(i, true, noticeLow, noticeHigh)
	})
}

// kill ends an instance at once.
func (w *World) kill(i *instance) {
	i.alive = false
	w.queue.after(fabricDelay, func() { w.withdraw(i) })
	w.tell(i, true, detectLow, detectHigh)
}

// pause holds an instance's process for a time; the others take it for dead
// and hear of it again once it is back.
func (w *World) pause(i *instance, d time.Duration) {
	i.pause(d)
	w.queue.after(fabricDelay, func() { w.withdraw(i) })
	w.tell(i, true, detectLow, detectHigh)
	w.queue.after(d, func() {
		w.tell(i, false, noticeLow, noticeHigh)
		w.queue.after(fabricDelay, func() { w.fabric = append(slices.Clone(w.fabric), i) })
	})
}

// withdraw takes an instance out of the fabric.
func (w *World) withdraw(i *instance) {
	w.fabric = slices.DeleteFunc(slices.Clone(w.fabric), func(other *instance) bool { return other == i })
}

// partition cuts a data centre off from the others for a time.
func (w *World) partition(dataCentre string, d time.Duration) {
	w.cutOff = dataCentre
	w.unreachable(dataCentre, true, detectLow, detectHigh)
	w.queue.after(d, func() {
		w.cutOff = ""
		w.unreachable(dataCentre, false, noticeLow, noticeHigh)
		w.spread()
	})
}

// unreachable marks the members on the other side of a partition.
func (w *World) unreachable(dataCentre string, flag bool, low, high time.Duration) {
	for _, i := range w.instances {
		w.queue.after(w.between(low, high), func() {
			for id, m := range i.known {
				if (m.DataCentre == dataCentre) != (i.self.DataCentre == dataCentre) {
					m.Unreachable = flag
					i.known[id] = m
				}
			}
			i.changeMembers()
		})
	}
}

// takeOut takes a data centre out; the fabric learns of it as instances do.
func (w *World) takeOut(dataCentre string) {
	w.outSince[dataCentre] = w.queue.now
	w.publish(func(s *view.Sources) { s.Moves.Out = append(slices.Clone(s.Moves.Out), dataCentre) })
	for _, i := range w.instances {
		if i.self.DataCentre == dataCentre {
			w.queue.after(fabricDelay, func() { w.withdraw(i) })
		}
	}
}

// bringBack returns a data centre, its upstreams cold.
func (w *World) bringBack(dataCentre string) {
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

// join adds cold upstreams to the service in the data centre.
func (w *World) join(n, count int, service string, number uint32) {
	w.publish(func(s *view.Sources) {
		s.DataCentres = slices.Clone(s.DataCentres)
		site := &s.DataCentres[n]
		site.Upstreams = slices.Clone(site.Upstreams)
		first := 0
		for _, u := range site.Upstreams {
			if u.Service == service {
				first++
			}
		}
		for index := range count {
			listed := newUpstream(site.Name, n, service, number, first+index)
			site.Upstreams = append(site.Upstreams, listed)
			w.addUpstream(site.Name, listed).start()
		}
	})
}

// drain lets the first upstream of the data centre finish its flows.
func (w *World) drain(site int) {
	w.publish(func(s *view.Sources) {
		s.DataCentres = slices.Clone(s.DataCentres)
		dataCentre := &s.DataCentres[site]
		dataCentre.Upstreams = slices.Clone(dataCentre.Upstreams)
		dataCentre.Upstreams[0].State = inventory.UpstreamDraining
		w.upstreams[dataCentre.Upstreams[0].Packets].drainingFrom = w.queue.now
	})
}
