// Package ownerserver is the runtime of one instance that steers by owner. It
// turns packets, RPCs and timer ticks into events for the state machine of
// package ownerrouter, which makes the decisions, and executes the resulting
// effects. In this design each upstream is owned by one instance, which admits
// flows to it; package tokenserver is the runtime of the alternative, steering
// by token.
package ownerserver

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
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Limits of the runtime.
const (
	// TickInterval is the time between two Tick events.
	TickInterval = balancer.TickInterval
	// PauseThreshold is the time without any event after which the process is
	// considered to have been paused. Ticks alone arrive every TickInterval.
	PauseThreshold = time.Second
	// StopTimeout limits a graceful stop. It exceeds the time after which the
	// balancer ends its handovers, so that they can complete.
	StopTimeout = 40 * time.Second

	inboxCapacity = 1024
	// maxConcurrentCalls limits the outgoing requests in flight to peers, the
	// platform and upstreams.
	maxConcurrentCalls = 128
)

// router is the state machine that the runtime drives, implemented by
// routerAdapter. Only the event loop calls it.
type router interface {
	Apply(now time.Time, event ownerrouter.Event) []ownerrouter.Effect
	// View returns the configuration in force, or nil before the first one.
	View() *view.View
	// Members returns the instances considered alive, including those that the
	// platform does not list yet.
	Members() []balancer.Member
	// Address returns the RPC address of a peer, invalid if it is unknown.
	Address(peer view.ID) netip.AddrPort
	// Newer returns the values that are newer than those in have.
	Newer(have []view.KeyVersion) []view.Value
	Dump() any
	Explain(key flow.Key) any
}

// Server is the runtime of one instance. Its exported methods may be called
// from any goroutine.
type Server struct {
	settings Settings
	id       view.ID
	log      *zap.Logger
	keys     *keyring.Keyring
	metrics  *counters
	gauges   *gaugeSet

	socket  *packetSocket
	peers   net.Listener
	inspect net.Listener

	// The fields up to the blank line are accessed only by the event loop.
	router    router
	encoder   *geneve.Encoder
	lastEvent time.Time
	stopped   bool
	// polling holds the upstreams that have a status poll in flight.
	polling map[view.ID]bool
	// unlisted maps live peers that the view does not list to their packet
	// addresses.
	unlisted map[view.ID]netip.AddrPort
	// The packet events are reused for each packet.
	fabricEvent    balancer.FabricPacket
	relayedEvent   balancer.RelayedPacket
	icmpErrorEvent balancer.ICMPErrorReceived

	inbox       chan message
	callSlots   chan struct{}
	fetchSlots  chan struct{}
	outbox      outbox
	client      *http.Client
	peerClients *peerClientPool
	platform    *platformClient

	// lifetime is cancelled when the instance has stopped. Tasks run until
	// then.
	lifetime context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
}

// message is an item in the inbox of the event loop: an event or, if task is
// set, a function to run on the loop's goroutine. done is closed after task has
// returned.
type message struct {
	event ownerrouter.Event
	task  func()
	done  chan struct{}
}

// newServer returns a server that listens on the configured addresses.
func newServer(c Config, r router) (*Server, error) {
	keys, err := keyring.New(c.keys())
	if err != nil {
		return nil, err
	}
	log := c.Log
	if log == nil {
		log = zap.NewNop()
	}
	s := &Server{
		settings: c.Settings, id: view.IDFromName(c.Settings.Name), log: log, keys: keys, metrics: newCounters(), gauges: newGaugeSet(),
		router: r, encoder: geneve.NewEncoder(keys), polling: make(map[view.ID]bool), unlisted: make(map[view.ID]netip.AddrPort),
		inbox: make(chan message, inboxCapacity), callSlots: make(chan struct{}, maxConcurrentCalls),
		fetchSlots: make(chan struct{}, maxConcurrentFetches),
	}
	s.lifetime, s.cancel = context.WithCancel(context.Background())
	s.client = newHTTPClient()
	s.peerClients = newPeerClientPool(s.id, keys, s.metrics)
	s.platform = newPlatformClient(s.client, c.Settings.Platform, s.metrics)
	if err := s.listen(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Server) listen() error {
	settings := s.settings
	var err error
	if s.socket, err = newPacketSocket(settings.Packets, settings.Fabric, s.keys, s.metrics); err != nil {
		return &ListenError{Setting: "packets", Address: settings.Packets, Cause: err}
	}
	if s.peers, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(settings.Peers)); err != nil {
		return &ListenError{Setting: "peers", Address: settings.Peers, Cause: err}
	}
	s.peers = netutil.LimitListener(&countingListener{Listener: s.peers, metrics: s.metrics}, maxPeerConnections)
	if s.inspect, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(settings.Inspect)); err != nil {
		return &ListenError{Setting: "inspect", Address: settings.Inspect, Cause: err}
	}
	s.inspect = netutil.LimitListener(s.inspect, maxInspectConnections)
	return nil
}

// PacketsAddress returns the UDP address on which the instance receives
// packets.
func (s *Server) PacketsAddress() netip.AddrPort { return s.socket.address() }

// PeersAddress returns the TCP address of the RPC server for other instances.
func (s *Server) PeersAddress() netip.AddrPort { return listenAddress(s.peers) }

// InspectAddress returns the TCP address of the server for operators.
func (s *Server) InspectAddress() netip.AddrPort { return listenAddress(s.inspect) }

func listenAddress(l net.Listener) netip.AddrPort {
	address, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := address.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Run serves until ctx is cancelled, then hands the owned upstreams over to
// other instances and stops. It may be called only once.
func (s *Server) Run(ctx context.Context) error {
	peers, inspect := s.peerServer(), s.inspectServer()
	s.startTask(func(context.Context) { s.serve(peers, s.peers, "peers") })
	s.startTask(func(context.Context) { s.serve(inspect, s.inspect, "inspect") })
	s.startTask(func(ctx context.Context) { s.socket.read(ctx.Done()) })
	s.startTask(func(ctx context.Context) { s.socket.write(ctx.Done()) })
	s.log.Info("started",
		zap.String("instance", s.settings.Name), zap.String("data-centre", s.settings.DataCentre),
		zap.Stringer("packets", s.PacketsAddress()), zap.Stringer("peers", s.PeersAddress()),
		zap.Stringer("inspect", s.InspectAddress()))
	s.loop(ctx.Done())
	s.Close()
	peersErr, inspectErr := peers.Close(), inspect.Close()
	s.tasks.Wait()
	s.client.CloseIdleConnections()
	s.peerClients.close()
	s.log.Info("stopped", zap.String("instance", s.settings.Name), zap.NamedError("peers", peersErr), zap.NamedError("inspect", inspectErr))
	return nil
}

// Close stops the instance and closes its listeners without handing over its
// upstreams.
func (s *Server) Close() {
	s.cancel()
	if s.socket != nil {
		s.socket.close()
	}
	for _, l := range []net.Listener{s.peers, s.inspect} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// startTask runs task in a goroutine that Run waits for. The context is
// cancelled when the instance stops.
func (s *Server) startTask(task func(ctx context.Context)) {
	s.tasks.Go(func() { task(s.lifetime) })
}

// startCall runs task in a goroutine once fewer than maxConcurrentCalls are in
// flight.
func (s *Server) startCall(task func(ctx context.Context)) {
	s.startTask(func(ctx context.Context) {
		select {
		case s.callSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		defer func() { <-s.callSlots }()
		task(ctx)
	})
}

// post sends an event to the event loop.
func (s *Server) post(event ownerrouter.Event) {
	select {
	case s.inbox <- message{event: event}:
	case <-s.lifetime.Done():
	}
}

// runOnLoop runs task on the event loop's goroutine and waits until it returns.
func (s *Server) runOnLoop(ctx context.Context, task func()) error {
	m := message{task: task, done: make(chan struct{})}
	select {
	case s.inbox <- m:
	case <-s.lifetime.Done():
		return &StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-m.done:
		return nil
	case <-s.lifetime.Done():
		return &StoppedError{}
	}
}
