package demo

import (
	"context"
	"net/netip"
	"sync"

	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
	"github.com/chervilhaven/chervilhaven/internal/ownerserver"
)

// fleet holds the instances of a run by name. All of them run in this process.
type fleet struct {
	instances map[string]*fleetInstance
	running   sync.WaitGroup
}

// fleetInstance is an instance that runs in a goroutine of this process.
type fleetInstance struct {
	instance *ownerserver.Server
	// shutDown requests a graceful stop, in which flows are handed over.
	shutDown context.CancelFunc
}

func newFleet() *fleet { return &fleet{instances: make(map[string]*fleetInstance)} }

func (f *fleet) start(ctx context.Context, a deployment.InstanceAddresses) error {
	i, err := ownerserver.New(ownerserver.Config{Settings: settingsOf(a)})
	if err != nil {
		return err
	}
	// The context of the instance is independent of the run's cancellation, so that
	// the instance can still hand over its flows.
	ctx, shutDown := context.WithCancel(context.WithoutCancel(ctx))
	f.instances[a.Name] = &fleetInstance{instance: i, shutDown: shutDown}
	f.running.Go(func() {
		// The error is ignored: a failed instance is visible in the counts of the
		// run.
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

// shutDown requests a graceful stop of an instance.
func (f *fleet) shutDown(name string) { f.instances[name].shutDown() }

// kill stops an instance immediately, without notice to its peers.
func (f *fleet) kill(name string) { f.instances[name].instance.Close() }

// closeAll stops all instances and waits until they have ended.
func (f *fleet) closeAll() {
	for _, e := range f.instances {
		e.instance.Close()
		e.shutDown()
	}
	f.running.Wait()
}
