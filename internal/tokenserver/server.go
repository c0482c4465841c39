// Package tokenserver runs an instance that routes packets by the token they carry.
// It is the I/O layer around package tokenrouter: it turns datagrams, RPCs and the clock
// into events for the state machine tokenrouter.Router, and executes the effects it returns.
// The fabric is the network that distributes the packets of callers over the
// instances.
package tokenserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/token"
	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
)

const (
	// pauseThreshold is the time without an event after which the process is assumed
	// to have been paused: four times the longest interval between ticks.
	pauseThreshold = time.Second
	// shutdownTimeout bounds the shutdown of the RPC server after the drain.
	shutdownTimeout = 200 * time.Millisecond
)

// PacketCodec decodes packets received from the fabric and encodes those sent to
// upstreams and callers.
type PacketCodec interface {
	// Decode parses a datagram sent by a caller into p, which may alias it.
	Decode(datagram []byte, p *tokenrouter.Packet) error
	// AppendForward appends the datagram that carries the packet raw to the upstream
	// with the given number and token.
	AppendForward(b, raw []byte, number uint64, t token.Token) []byte
	// AppendReset appends a packet that resets the flow from source to destination,
	// and returns the address to send it to. The sequence number is that of the next byte
	// that the source expects, any if the flow is not open.
	AppendReset(b []byte, source, destination netip.AddrPort, sequence uint32) ([]byte, netip.AddrPort)
}

// Store is a client of the platform's key-value store. An instance calls it from
// one goroutine at a time.
type Store interface {
	// Read returns the changes after the position since, and waits for the first one
	// for up to wait. If since is zero, it returns the whole content, in as many
	// requests as necessary. The timeout applies to each request.
	Read(ctx context.Context, since catalog.Position, wait, timeout time.Duration) (tokenrouter.StoreRead, error)
}

// HistoryLost is implemented by errors of a Store. It reports whether the store no
// longer keeps the requested changes, so that a full read is necessary.
type HistoryLost interface{ HistoryLost() bool }

// Config configures a Server. All fields but Drain are required.
type Config struct {
	Router tokenrouter.Config
	// Packets is the UDP address that receives packets from the fabric.
	Packets netip.AddrPort
	// Drain is the time to keep serving after a request to stop, so that the fabric
	// can redirect packets to other instances.
	Drain       time.Duration
	PacketCodec PacketCodec
	Store       Store
	Log         *zap.Logger
}

// Server runs one instance. Its methods are safe for concurrent use.
type Server struct {
	config          Config
	log             *zap.Logger
	packetConn      *net.UDPConn
	peerConn        *net.UDPConn
	catalogServer   *http.Server
	catalogListener net.Listener
	fetcher         *fetcher
	metrics         *counters

	started       time.Time
	uptimeAtStart time.Duration

	// mu guards router, lastEvent, resumed and sendBuffer.
	mu        sync.Mutex
	router    *tokenrouter.Router
	lastEvent time.Time
	// resumed is the end of the last pause, zero once all packets are read that arrived
	// during it.
	resumed    time.Time
	sendBuffer []byte
	// rescheduled wakes runTicks when an event made the next tick due earlier.
	rescheduled chan struct{}

	taskContext context.Context
	cancelTasks context.CancelFunc
	tasks       sync.WaitGroup
}

// New opens the sockets of an instance. They are not read before Run.
func New(c Config) (*Server, error) {
	s := &Server{
		config: c, log: c.Log, router: tokenrouter.New(c.Router), metrics: newCounters(),
		started: time.Now(), uptimeAtStart: uptime(), rescheduled: make(chan struct{}, 1), fetcher: newFetcher(),
	}
	s.taskContext, s.cancelTasks = context.WithCancel(context.Background())
	var err error
	if s.packetConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Packets)); err != nil {
		return nil, &ListenError{Use: "packets", Address: c.Packets, Cause: err}
	}
	if s.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Router.Self)); err != nil {
		return nil, &ListenError{Use: "peers", Address: c.Router.Self, Cause: err}
	}
	if s.catalogListener, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(c.Router.Self)); err != nil {
		return nil, &ListenError{Use: "peers", Address: c.Router.Self, Cause: err}
	}
	for _, conn := range []*net.UDPConn{s.packetConn, s.peerConn} {
		if err := conn.SetReadBuffer(socketBufferBytes); err != nil {
			s.log.Warn("socket-buffer", zap.Error(err))
		}
	}
	s.catalogServer = s.newCatalogServer()
	return s, nil
}

// uptime returns the time since the machine booted, including the time it was
// suspended, which the monotonic clock of the Go runtime leaves out.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// now returns a time that keeps advancing while the machine is suspended and that
// steps of the wall clock do not affect.
func (s *Server) now() time.Time { return s.started.Add(uptime() - s.uptimeAtStart) }

// Run serves until ctx ends and then for Config.Drain. It must be called once.
func (s *Server) Run(ctx context.Context) error {
	s.log.Info("started", zap.Stringer("packets", s.config.Packets), zap.Stringer("peers", s.config.Router.Self),
		zap.String("data-centre", s.config.Router.DataCentre))
	s.lastEvent = s.now()
	s.apply(&tokenrouter.Tick{}) //nolint:contextcheck // Requests are cancelled when the server stops, after ctx ends.
	s.tasks.Go(s.readPackets)
	s.tasks.Go(s.readPeers)
	s.tasks.Go(s.serveCatalog)
	s.tasks.Go(s.runTicks)
	<-ctx.Done()
	s.apply(&tokenrouter.Stopping{}) //nolint:contextcheck // Requests are cancelled when the server stops, after ctx ends.
	time.Sleep(s.config.Drain)
	s.close() //nolint:contextcheck // The shutdown has its own timeout.
	s.log.Info("stopped")
	return nil
}

func (s *Server) close() {
	s.cancelTasks()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, err := range []error{s.packetConn.Close(), s.peerConn.Close(), s.catalogServer.Shutdown(ctx)} {
		if err != nil {
			s.log.Warn("close", zap.Error(err))
		}
	}
	s.tasks.Wait()
}

// Ready reports whether the instance can accept new flows.
func (s *Server) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Ready()
}

// SetSeeds replaces the addresses of the instances to contact first.
func (s *Server) SetSeeds(seeds []netip.AddrPort) { s.apply(&tokenrouter.SeedsChanged{Seeds: seeds}) }

// runTicks applies a tick whenever the state machine has one due.
func (s *Server) runTicks() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			s.apply(&tokenrouter.Tick{})
		case <-s.rescheduled:
		case <-s.taskContext.Done():
			return
		}
		s.mu.Lock()
		wait := s.router.Next().Sub(s.now())
		s.mu.Unlock()
		timer.Reset(max(wait, 0))
	}
}

// apply passes one event to the state machine and executes the resulting effects.
// If the process was paused before the event, it reports the pause first. An event
// that causes a panic is dropped, so that no message can end the process.
func (s *Server) apply(event tokenrouter.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.containPanic(event)
	now := s.now()
	next := s.router.Next()
	if gap := now.Sub(s.lastEvent); gap > pauseThreshold {
		s.metrics.pauses.Inc()
		s.resumed = now
		s.execute(s.router.Apply(now, &tokenrouter.Resumed{Pause: gap}))
	}
	s.lastEvent = now
	if p, ok := event.(*tokenrouter.Packet); ok {
		p.Waited = s.hasBacklog(now)
	}
	s.execute(s.router.Apply(now, event))
	if s.router.Next().Before(next) {
		select {
		case s.rescheduled <- struct{}{}:
		default:
		}
	}
}

func (s *Server) execute(effects []tokenrouter.Effect) {
	for i := range effects {
		e := &effects[i]
		switch e.Kind {
		case tokenrouter.Forward:
			s.sendBuffer = s.config.PacketCodec.AppendForward(s.sendBuffer[:0], e.Raw, e.Number, e.Token)
			s.sendPacket(e.Upstream)
		case tokenrouter.Refuse:
			var to netip.AddrPort
			s.sendBuffer, to = s.config.PacketCodec.AppendReset(s.sendBuffer[:0], e.Source, e.Destination, e.Sequence)
			s.sendPacket(to)
		case tokenrouter.ReadStore:
			since, wait, timeout := e.Since, e.Wait, e.Timeout
			s.startTask(func() { s.readStore(since, wait, timeout) })
		case tokenrouter.SendMessage:
			s.sendMessage(e.Peer, e.Message)
		case tokenrouter.Fetch:
			peer, since, timeout := e.Peer, e.Since, e.Timeout
			s.startTask(func() { s.fetchCatalog(peer, since, timeout) })
		case tokenrouter.Dial:
			number, address, timeout := e.Number, e.Upstream, e.Timeout
			s.startTask(func() { s.dialUpstream(number, address, timeout) })
		case tokenrouter.Log:
			s.writeLogLine(&e.Line)
		case tokenrouter.ObserveDuration:
			s.metrics.routerSeconds[e.DurationMetric].Update(e.Wait.Seconds())
		}
	}
}

// containPanic logs and counts a panic that an event caused. It has to be deferred.
func (s *Server) containPanic(event any) {
	if cause := recover(); cause != nil {
		s.metrics.panics.Inc()
		s.log.Error("panic", zap.String("event", fmt.Sprintf("%T", event)), zap.Any("cause", cause), zap.Stack("stack"))
	}
}

// startTask runs a task in a new goroutine unless the server is closing.
func (s *Server) startTask(task func()) {
	if s.taskContext.Err() == nil {
		s.tasks.Go(task)
	}
}

func (s *Server) writeLogLine(l *tokenrouter.Line) {
	fields := make([]zap.Field, len(l.Fields))
	for i, f := range l.Fields {
		fields[i] = zap.String(f.Key, f.Value)
	}
	s.log.Info(l.Event, fields...)
}

// readStore reads the platform's store and applies the result.
func (s *Server) readStore(since catalog.Position, wait, timeout time.Duration) {
	started := time.Now()
	got, err := s.config.Store.Read(s.taskContext, since, wait, timeout)
	s.metrics.storeCalls.Inc()
	if err != nil {
		s.metrics.storeFailures.Inc()
		var lost HistoryLost
		s.apply(&tokenrouter.StoreFailed{Err: err, HistoryLost: errors.As(err, &lost) && lost.HistoryLost()})
		return
	}
	s.metrics.storeSeconds.UpdateDuration(started)
	s.apply(&got)
}
