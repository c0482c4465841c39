package demo

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
)

// step is one change during a run. at is relative to the start of the run.
type step struct {
	at    time.Duration
	apply func() error
}

// plan returns the steps of the configured event in chronological order. Events act
// on the first instance, upstream or data centre.
func (r *run) plan() []step {
	at, recoverAt := r.config.Duration*eventTenths/10, r.config.Duration*recoveryTenths/10
	dataCentre := r.inventory.DataCentres[0].Name
	upstream := r.inventory.DataCentres[0].Upstreams[0].Name
	instance := r.deployment.Instances()[0]
	switch r.config.Event {
	case EventDrain:
		return []step{{at, func() error { return r.deployment.Drain(upstream) }}}
	case EventCold:
		return []step{{at, func() error { return r.deployment.LoseUpstreamCaches(upstream) }}}
	case EventInstanceStop:
		return []step{
			{at, func() error {
				err := r.deployment.MarkInstanceLeaving(instance.Name)
				r.fleet.shutDown(instance.Name)
				return err
			}},
			{at + detachDelay, func() error { return r.detach(instance) }},
		}
	case EventInstanceKill:
		return []step{
			{at, func() error { r.fleet.kill(instance.Name); return nil }},
			{at + detachDelay, func() error { return r.detach(instance) }},
		}
	case EventDataCentre:
		return []step{
			{at, func() error { return r.deployment.TakeOut(dataCentre) }},
			{at + detachDelay, func() error { return r.detachAll(dataCentre) }},
			{recoverAt, func() error { return r.restoreDataCentre(dataCentre) }},
		}
	case EventNone:
		return nil
	default:
		return nil
	}
}

// detach removes an instance from the fabric, which stops sending packets to it.
func (r *run) detach(a deployment.InstanceAddresses) error {
	r.deployment.RemoveFromFabric(a)
	return nil
}

// detachAll removes all instances of a data centre from the fabric.
func (r *run) detachAll(dataCentre string) error {
	for _, a := range r.deployment.Instances() {
		if a.DataCentre == dataCentre {
			r.deployment.RemoveFromFabric(a)
		}
	}
	return nil
}

// restoreDataCentre attaches the instances of a data centre to the fabric again and
// puts the data centre back into service.
func (r *run) restoreDataCentre(dataCentre string) error {
	for _, a := range r.deployment.Instances() {
		if a.DataCentre == dataCentre {
			r.deployment.AddToFabric(a)
		}
	}
	return r.deployment.BringBack(dataCentre)
}
