// Package host runs an instance that routes packets by the token they carry. It is
// the I/O layer around package edge: it turns datagrams, RPCs and the clock into
// events for the state machine edge.Edge, and executes the effects it returns. The
// fabric is the network that distributes the packets of callers over the instances.
package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/edge"
	"github.com/chervilhaven/chervilhaven/internal/token"
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
	Decode(datagram []byte, p *edge.Packet) error
	// AppendForward appends the datagram that carries the packet raw to the upstream
	// with the given number and token.
	AppendForward(b, raw []byte, number uint64, t token.Token) []byte
	// AppendReset appends a packet that resets the flow from source to destination,
	// and returns the address to send it to.
	AppendReset(b []byte, source, destination netip.AddrPort) ([]byte, netip.AddrPort)
}

// Store is a client of the platform's key-value store. An instance calls it from
// one goroutine at a time.
type Store interface {
	// Read returns the changes after the revision since, and waits for the first one
	// for up to wait. If since is zero, it returns the whole content, in as many
	// requests as necessary. The timeout applies to each request.
	Read(ctx context.Context, since catalog.Revision, wait, timeout time.Duration) (edge.StoreRead, error)
}

// HistoryLost is implemented by errors of a Store. It reports whether the store no
// longer keeps the requested changes, so that a full read is necessary.
type HistoryLost interface{ HistoryLost() bool }

// Config configures a Host. All fields but Drain are required.
type Config struct {
	Edge edge.Config
	// Packets is the UDP address that receives packets from the fabric.
	Packets netip.AddrPort
	// Drain is the time to keep serving after a request to stop, so that the fabric
	// can redirect packets to other instances.
	Drain       time.Duration
	PacketCodec PacketCodec
	Store       Store
	Log         *zap.Logger
}

// Host runs one instance. Its methods are safe for concurrent use.
type Host struct {
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

	// mu guards the fields below.
	mu          sync.Mutex
	edge        *edge.Edge
	lastEvent   time.Time
	sendBuffer  []byte
	rescheduled chan struct{}

	taskContext context.Context
	cancelTasks context.CancelFunc
	tasks       sync.WaitGroup
}

// New opens the sockets of an instance. Run starts to serve them.
func New(c Config) (*Host, error) {
	h := &Host{
		config: c, log: c.Log, edge: edge.New(c.Edge), metrics: newCounters(),
		started: time.Now(), uptimeAtStart: uptime(), rescheduled: make(chan struct{}, 1), fetcher: newFetcher(),
	}
	h.taskContext, h.cancelTasks = context.WithCancel(context.Background())
	var err error
	if h.packetConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Packets)); err != nil {
		return nil, &ListenError{Use: "packets", Address: c.Packets, Cause: err}
	}
	if h.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Edge.Self)); err != nil {
		return nil, &ListenError{Use: "peers", Address: c.Edge.Self, Cause: err}
	}
	if h.catalogListener, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(c.Edge.Self)); err != nil {
		return nil, &ListenError{Use: "peers", Address: c.Edge.Self, Cause: err}
	}
	for _, s := range []*net.UDPConn{h.packetConn, h.peerConn} {
		if err := s.SetReadBuffer(socketBufferBytes); err != nil {
			h.log.Warn("socket-buffer", zap.Error(err))
		}
	}
	h.catalogServer = h.newCatalogServer()
	return h, nil
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
func (h *Host) now() time.Time { return h.started.Add(uptime() - h.uptimeAtStart) }

// Run serves until ctx ends and then for Config.Drain. It must be called once.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info("started", zap.Stringer("packets", h.config.Packets), zap.Stringer("peers", h.config.Edge.Self),
		zap.String("data-centre", h.config.Edge.DataCentre))
	h.lastEvent = h.now()
	h.apply(&edge.Tick{}) //nolint:contextcheck // Requests are cancelled when the host stops, after ctx ends.
	h.tasks.Go(h.readPackets)
	h.tasks.Go(h.readPeers)
	h.tasks.Go(h.serveCatalog)
	h.tasks.Go(h.runTicks)
	<-ctx.Done()
	h.apply(&edge.Stopping{}) //nolint:contextcheck // Requests are cancelled when the host stops, after ctx ends.
	time.Sleep(h.config.Drain)
	h.close() //nolint:contextcheck // The shutdown has its own timeout.
	h.log.Info("stopped")
	return nil
}

func (h *Host) close() {
	h.cancelTasks()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, err := range []error{h.packetConn.Close(), h.peerConn.Close(), h.catalogServer.Shutdown(ctx)} {
		if err != nil {
			h.log.Warn("close", zap.Error(err))
		}
	}
	h.tasks.Wait()
}

// Ready reports whether the instance can accept new flows.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.edge.Ready()
}

// SetSeeds replaces the addresses of the instances to contact first.
func (h *Host) SetSeeds(seeds []netip.AddrPort) { h.apply(&edge.SeedsChanged{Seeds: seeds}) }

// runTicks applies a tick whenever the state machine has one due.
func (h *Host) runTicks() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			h.apply(&edge.Tick{})
		case <-h.rescheduled:
		case <-h.taskContext.Done():
			return
		}
		h.mu.Lock()
		wait := h.edge.Next().Sub(h.now())
		h.mu.Unlock()
		timer.Reset(max(wait, 0))
	}
}

// apply passes one event to the state machine and executes the resulting effects.
// If the process was paused before the event, it reports the pause first.
func (h *Host) apply(event edge.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	next := h.edge.Next()
	if gap := now.Sub(h.lastEvent); gap > pauseThreshold {
		h.metrics.pauses.Inc()
		h.execute(h.edge.Apply(now, &edge.Woke{Gap: gap}))
	}
	h.lastEvent = now
	h.execute(h.edge.Apply(now, event))
	if h.edge.Next().Before(next) {
		select {
		case h.rescheduled <- struct{}{}:
		default:
		}
	}
}

func (h *Host) execute(effects []edge.Effect) {
	for i := range effects {
		e := &effects[i]
		switch e.Kind {
		case edge.Forward:
			h.sendBuffer = h.config.PacketCodec.AppendForward(h.sendBuffer[:0], e.Raw, e.Number, e.Token)
			h.sendPacket(e.Upstream)
		case edge.Refuse:
			var to netip.AddrPort
			h.sendBuffer, to = h.config.PacketCodec.AppendReset(h.sendBuffer[:0], e.Source, e.Destination)
			h.sendPacket(to)
		case edge.Read:
			since, wait, timeout := e.Since, e.Wait, e.Timeout
			h.startTask(func() { h.readStore(since, wait, timeout) })
		case edge.Tell:
			h.sendMessage(e.Peer, e.Message)
		case edge.Fetch:
			peer, since, timeout := e.Peer, e.Since, e.Timeout
			h.startTask(func() { h.fetchCatalog(peer, since, timeout) })
		case edge.Log:
			h.writeLogLine(&e.Line)
		case edge.Observe:
			h.metrics.edgeSeconds[e.Observed].Update(e.Wait.Seconds())
		}
	}
}

// startTask runs a task in a new goroutine unless the host is closed.
func (h *Host) startTask(task func()) {
	if h.taskContext.Err() == nil {
		h.tasks.Go(task)
	}
}

func (h *Host) writeLogLine(l *edge.Line) {
	fields := make([]zap.Field, len(l.Fields))
	for i, f := range l.Fields {
		fields[i] = zap.String(f.Key, f.Value)
	}
	h.log.Info(l.Event, fields...)
}

// readStore reads the platform's store and applies the result.
func (h *Host) readStore(since catalog.Revision, wait, timeout time.Duration) {
	started := time.Now()
	got, err := h.config.Store.Read(h.taskContext, since, wait, timeout)
	h.metrics.storeCalls.Inc()
	if err != nil {
		h.metrics.storeFailures.Inc()
		var lost HistoryLost
		h.apply(&edge.StoreFailed{Err: err, HistoryLost: errors.As(err, &lost) && lost.HistoryLost()})
		return
	}
	h.metrics.storeSeconds.UpdateDuration(started)
	h.apply(&got)
}
