package demo

import (
	"context"
	"net/netip"
	"sync"

	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
	"github.com/chervilhaven/chervilhaven/internal/ownerserver"
)

// fleet is the instances of a run, all in this process.
type fleet struct {
	instances map[string]*entry
	running   sync.WaitGroup
}

// entry is one instance of a fleet.
type entry struct {
	instance *ownerserver.Server
	// interrupt asks for a clean stop.
	interrupt context.CancelFunc
}

func newFleet() *fleet { return &fleet{instances: make(map[string]*entry)} }

func (f *fleet) start(ctx context.Context, a deployment.InstanceAddresses) error {
	i, err := ownerserver.New(ownerserver.Config{Settings: settingsOf(a)})
	if err != nil {
		return err
	}
	// The instance outlives the context of the run, so that it can hand over.
	ctx, interrupt := context.WithCancel(context.WithoutCancel(ctx))
	f.instances[a.Name] = &entry{instance: i, interrupt: interrupt}
	f.running.Go(func() {
		// What fails in an instance shows in the counts of the run.
		_ = i.Run(ctx)
	})
	return nil
}

func settingsOf(a deployment.InstanceAddresses) ownerserver.Settings {
	return ownerserver.Settings{
		Name: a.Name, DataCentre: a.DataCentre, Packets: a.Packets, Peers: a.Peers, Inspect: a.Inspect,
		Platform: []netip.AddrPort{a.Platform}, Fabric: []netip.AddrPort{a.Fabric},
	}
}

// interrupt asks an instance for a clean stop.
func (f *fleet) interrupt(name string) { f.instances[name].interrupt() }

// kill ends an instance at once, without a word to its peers.
func (f *fleet) kill(name string) { f.instances[name].instance.Close() }

// stop ends all instances.
func (f *fleet) stop() {
	for _, e := range f.instances {
		e.instance.Close()
		e.interrupt()
	}
	f.running.Wait()
}
