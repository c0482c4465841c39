// Package instance is the runtime of one instance: it turns sockets, calls and
// the clock into events for package node and carries out the effects.
package instance

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/geneve"
	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/internal/node"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Bounds of the runtime.
const (
	// TickInterval is the time between two ticks.
	TickInterval = balancer.TickInterval
	// GapBound is the lateness of a tick beyond which the process is taken to
	// have been paused.
	GapBound = time.Second
	// StopBound is the time that a clean stop may take. It leaves room for
	// the handovers of the balancer, which end by themselves before.
	StopBound = 40 * time.Second

	inboxMessages = 1024
	// concurrentCalls bounds the calls in flight to peers, platform and upstreams.
	concurrentCalls = 128
)

// reducer is what the runtime needs of a node.
type reducer interface {
	Apply(now time.Time, event node.Event) []node.Effect
	// View returns the view in force, nil before the first one.
	View() *view.View
	// Members returns the instances believed to be alive, also those that the
	// platform does not list yet.
	Members() []balancer.Member
	// Address returns the RPC address of a peer, invalid where unknown.
	Address(peer view.ID) netip.AddrPort
	// Newer returns the values that are newer than have.
	Newer(have []view.KeyVersion) []view.Value
	Dump() any
	Explain(key flow.Key) any
}

// Instance is one running instance.
type Instance struct {
	settings Settings
	id       view.ID
	log      *zap.Logger
	keys     *keyring.Keyring
	metrics  *counters
	gauges   *gaugeSet

	socket  *packetSocket
	peers   net.Listener
	inspect net.Listener

	// The event loop owns the fields from here to the blank line.
	reducer   reducer
	encoder   *geneve.Encoder
	lastEvent time.Time
	stopped   bool
	polling   map[view.ID]bool
	// unlisted are the packet addresses of live peers that the view lacks.
	unlisted map[view.ID]netip.AddrPort
	fabric   balancer.FabricPacket
	peer     balancer.RelayedPacket
	quoted   balancer.ICMPErrorReceived

	inbox    chan message
	calls    chan struct{}
	fetches  chan struct{}
	outbox   outbox
	client   *http.Client
	caller   *peerCaller
	platform *platformClient

	// work ends when the instance has stopped; tasks run until then.
	work   context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// message is one event for the loop or, with Run, a task on its goroutine.
type message struct {
	event node.Event
	run   func()
	done  chan struct{}
}

// newInstance listens on the addresses of the settings.
func newInstance(c Config, r reducer) (*Instance, error) {
	keys, err := keyring.New(c.keys())
	if err != nil {
		return nil, err
	}
	log := c.Log
	if log == nil {
		log = zap.NewNop()
	}
	i := &Instance{
		settings: c.Settings, id: view.IDFromName(c.Settings.Name), log: log, keys: keys, metrics: newCounters(), gauges: newGaugeSet(),
		reducer: r, encoder: geneve.NewEncoder(keys), polling: make(map[view.ID]bool), unlisted: make(map[view.ID]netip.AddrPort),
		inbox: make(chan message, inboxMessages), calls: make(chan struct{}, concurrentCalls),
		fetches: make(chan struct{}, concurrentFetches),
	}
	i.work, i.cancel = context.WithCancel(context.Background())
	i.client = newHTTPClient()
	i.caller = newPeerCaller(i.id, keys, i.metrics)
	i.platform = newPlatformClient(i.client, c.Settings.Platform, i.metrics)
	if err := i.listen(); err != nil {
		i.Close()
		return nil, err
	}
	return i, nil
}

func (i *Instance) listen() error {
	s := i.settings
	var err error
	if i.socket, err = newPacketSocket(s.Packets, s.Fabric, i.keys, i.metrics); err != nil {
		return &ListenError{Setting: "packets", Address: s.Packets, Cause: err}
	}
	if i.peers, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Peers)); err != nil {
		return &ListenError{Setting: "peers", Address: s.Peers, Cause: err}
	}
	i.peers = netutil.LimitListener(&countingListener{Listener: i.peers, metrics: i.metrics}, peerConnections)
	if i.inspect, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Inspect)); err != nil {
		return &ListenError{Setting: "inspect", Address: s.Inspect, Cause: err}
	}
	i.inspect = netutil.LimitListener(i.inspect, inspectConnections)
	return nil
}

// PacketsAddress returns the UDP address that the instance listens on.
func (i *Instance) PacketsAddress() netip.AddrPort { return i.socket.address() }

// PeersAddress returns the TCP address that serves the other instances.
func (i *Instance) PeersAddress() netip.AddrPort { return listenAddress(i.peers) }

// InspectAddress returns the TCP address that serves operators.
func (i *Instance) InspectAddress() netip.AddrPort { return listenAddress(i.inspect) }

func listenAddress(l net.Listener) netip.AddrPort {
	address, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := address.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Run serves until ctx ends, then hands over what the instance owns and
// returns. It may be called once.
func (i *Instance) Run(ctx context.Context) error {
	peers, inspect := i.peerServer(), i.inspectServer()
	i.start(func(context.Context) { i.serve(peers, i.peers, "peers") })
	i.start(func(context.Context) { i.serve(inspect, i.inspect, "inspect") })
	i.start(func(ctx context.Context) { i.socket.read(ctx.Done()) })
	i.start(func(ctx context.Context) { i.socket.write(ctx.Done()) })
	i.log.Info("started",
		zap.String("instance", i.settings.Name), zap.String("data-centre", i.settings.DataCentre),
		zap.Stringer("packets", i.PacketsAddress()), zap.Stringer("peers", i.PeersAddress()),
		zap.Stringer("inspect", i.InspectAddress()))
	i.loop(ctx.Done())
	i.Close()
	peersErr, inspectErr := peers.Close(), inspect.Close()
	i.tasks.Wait()
	i.client.CloseIdleConnections()
	i.caller.close()
	i.log.Info("stopped", zap.String("instance", i.settings.Name), zap.NamedError("peers", peersErr), zap.NamedError("inspect", inspectErr))
	return nil
}

// Close releases the addresses of an instance without handing over.
func (i *Instance) Close() {
	i.cancel()
	if i.socket != nil {
		i.socket.close()
	}
	for _, l := range []net.Listener{i.peers, i.inspect} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// start runs task until it returns; its context ends with the instance.
func (i *Instance) start(task func(ctx context.Context)) {
	i.tasks.Go(func() { task(i.work) })
}

// call runs task when fewer than concurrentCalls are in flight.
func (i *Instance) call(task func(ctx context.Context)) {
	i.start(func(ctx context.Context) {
		select {
		case i.calls <- struct{}{}:
		case <-ctx.Done():
			return
		}
		defer func() { <-i.calls }()
		task(ctx)
	})
}

// post gives an event to the loop.
func (i *Instance) post(event node.Event) {
	select {
	case i.inbox <- message{event: event}:
	case <-i.work.Done():
	}
}

// ask runs task on the goroutine of the loop and waits for it.
func (i *Instance) ask(ctx context.Context, task func()) error {
	m := message{run: task, done: make(chan struct{})}
	select {
	case i.inbox <- m:
	case <-i.work.Done():
		return &StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-m.done:
		return nil
	case <-i.work.Done():
		return &StoppedError{}
	}
}
