package demo

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
)

// step is one change of a run.
type step struct {
	at time.Duration
	do func() error
}

// plan returns the changes of the run in their order.
func (r *run) plan() []step {
	at, back := r.config.Duration*eventTenths/10, r.config.Duration*returnTenths/10
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
				r.fleet.interrupt(instance.Name)
				return err
			}},
			{at + detachTime, func() error { return r.detach(instance) }},
		}
	case EventInstanceKill:
		return []step{
			{at, func() error { r.fleet.kill(instance.Name); return nil }},
			{at + detachTime, func() error { return r.detach(instance) }},
		}
	case EventDataCentre:
		return []step{
			{at, func() error { return r.deployment.TakeOut(dataCentre) }},
			{at + detachTime, func() error { return r.detachAll(dataCentre) }},
			{back, func() error { return r.bringBack(dataCentre) }},
		}
	case EventNone:
		return nil
	default:
		return nil
	}
}

func (r *run) detach(a deployment.InstanceAddresses) error {
	r.deployment.RemoveFromFabric(a)
	return nil
}

func (r *run) detachAll(dataCentre string) error {
	for _, a := range r.deployment.Instances() {
		if a.DataCentre == dataCentre {
			r.deployment.RemoveFromFabric(a)
		}
	}
	return nil
}

func (r *run) bringBack(dataCentre string) error {
	for _, a := range r.deployment.Instances() {
		if a.DataCentre == dataCentre {
			r.deployment.AddToFabric(a)
		}
	}
	return r.deployment.BringBack(dataCentre)
}
