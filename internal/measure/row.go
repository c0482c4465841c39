package measure

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// outTime is the time that a data centre is out of service.
const outTime = 45 * time.Second

// Row is one event under which the policies are compared. It makes a row of the
// table for each policy.
type Row struct {
	Name string
	// Planned rows must break no flow. A killed instance counts as planned.
	Planned bool
	// Steady rows must meet the bounds on imbalance and hops.
	Steady bool
	// Moves are the times, relative to the event, at which a data centre leaves
	// or returns.
	Moves []time.Duration
	// Window is the time that is measured after the event. Zero means 45 s.
	Window time.Duration
	// Long rows run with the first seed only.
	Long bool
	// Young fleets start together with the traffic. Others have been up for
	// fleetAge by then.
	Young bool
	// Script changes the fleet or injects the fault. It runs at the time of the
	// event.
	Script func(w *World)
}

// Rows returns the rows of the table.
func Rows() []Row {
	return []Row{
		{Name: "steady", Planned: true, Steady: true, Script: func(*World) {}},
		{Name: "answers lost, 2%", Planned: true, Script: func(w *World) { w.loss = 0.02 }},
		{Name: "upstream joins", Planned: true, Script: func(w *World) { w.addUpstreams(0, 1, w.deployment.Desk, deskNumber) }},
		{Name: "upstreams double", Planned: true, Script: doubleUpstreams},
		{Name: "drains", Planned: true, Script: func(w *World) { w.drainFirstUpstream(0); w.drainFirstUpstream(1) }},
		{Name: "turns cold", Script: func(w *World) { w.firstUpstream(0).turnCold() }},
		{Name: "instance stops", Planned: true, Script: func(w *World) { w.stopInstance(w.instances[0]) }},
		{Name: "instance killed", Planned: true, Script: func(w *World) { w.killInstance(w.instances[0]) }},
		{Name: "instance killed, young fleet", Planned: true, Young: true, Script: func(w *World) { w.killInstance(w.instances[0]) }},
		{Name: "three at once", Planned: true, Script: threeAtOnce},
		{Name: "uneven views, 5 s", Planned: true, Script: unevenViews},
		{Name: "pause of 10 s", Script: func(w *World) { w.pauseInstance(w.instances[0], 10*time.Second) }},
		{Name: "partition of 60 s", Window: 90 * time.Second, Script: func(w *World) { w.partition(w.deployment.DataCentres[0], time.Minute) }},
		{Name: "data centre out and back", Planned: true, Moves: []time.Duration{0, outTime}, Window: 90 * time.Second, Script: moveDataCentre},
		{Name: "platform down 10 min", Planned: true, Long: true, Window: 11 * time.Minute, Script: platformOutage},
	}
}

// restoredRow simulates a restore of the platform from a backup: revisions
// start over, so that the next changes carry low revisions again in a new
// generation.
func restoredRow() Row {
	return Row{Name: "platform restored from backup", Planned: true, Script: func(w *World) {
		for range 5 {
			w.publish(func(*view.Sources) {})
		}
		w.queue.after(10*time.Second, func() {
			w.sources.Version = view.Version{Generation: w.sources.Version.Generation + 1}
			w.drainFirstUpstream(0)
			w.addUpstreams(1, 1, w.deployment.Desk, deskNumber)
		})
	}}
}

// lossyRow doubles the upstreams while responses are lost, so that callers
// retransmit opening packets.
func lossyRow() Row {
	return Row{Name: "upstreams double, 20% loss", Script: func(w *World) {
		w.loss = 0.2
		doubleUpstreams(w)
	}}
}

// firstUpstream returns the first upstream of the n-th data centre.
func (w *World) firstUpstream(n int) *upstream {
	return w.upstreams[w.sources.DataCentres[n].Upstreams[0].Packets]
}

func doubleUpstreams(w *World) {
	for n, count := range w.deployment.Spread {
		w.addUpstreams(n, count, w.deployment.Desk, deskNumber)
		w.addUpstreams(n, 1, w.deployment.Bulk, bulkNumber)
	}
}

// threeAtOnce stops an instance while an upstream joins and another one drains.
func threeAtOnce(w *World) {
	w.stopInstance(w.instances[0])
	w.addUpstreams(0, 1, w.deployment.Desk, deskNumber)
	w.drainFirstUpstream(1)
}

// unevenViews changes the configuration three times, while a view takes up to
// five seconds to reach an instance.
func unevenViews(w *World) {
	w.skewLow, w.skewHigh = 0, 5*time.Second
	w.addUpstreams(0, 2, w.deployment.Desk, deskNumber)
	w.queue.after(2*time.Second, func() { w.drainFirstUpstream(1) })
	w.queue.after(4*time.Second, func() { w.addUpstreams(2, 2, w.deployment.Desk, deskNumber) })
}

func moveDataCentre(w *World) {
	w.takeDataCentreOut(w.deployment.DataCentres[0])
	w.queue.after(outTime, func() { w.returnDataCentre(w.deployment.DataCentres[0]) })
}

// platformOutage kills an instance while the platform is down, and publishes a
// change that instances receive only once the platform is back.
func platformOutage(w *World) {
	w.platformDown = true
	w.queue.after(time.Minute, func() { w.killInstance(w.instances[0]) })
	w.queue.after(2*time.Minute, func() { w.addUpstreams(1, 1, w.deployment.Desk, deskNumber) })
	w.queue.after(10*time.Minute, func() {
		w.platformDown = false
		w.distributeView()
	})
}
