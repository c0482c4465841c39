package ownerserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

const (
	dialTimeout = time.Second
	// maxIdleConnections limits the idle connections kept open to peers.
	maxIdleConnections = 64

	// transferAttempts is the number of times that a handover or a release
	// request is sent before it counts as lost. The time between attempts starts
	// at transferBackoff and doubles each time.
	transferAttempts = 4
	transferBackoff  = 100 * time.Millisecond
	// maxPendingTransfers limits the transfers queued for one peer.
	maxPendingTransfers = 4096
)

// peerClientPool creates RPC clients for other instances, which share one HTTP
// transport.
type peerClientPool struct {
	id        view.ID
	transport *http.Transport
	client    *http.Client
}

func newPeerClientPool(id view.ID, keys *keyring.Keyring, m *counters) *peerClientPool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c, metrics: m}, nil
		},
		MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout / 2,
		MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true,
	}
	c := &peerClientPool{id: id, transport: transport, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
	if !keys.Empty() {
		c.client.Transport = &signingTransport{keys: keys, next: transport, limit: maxResponseBytes}
	}
	return c
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *peerClientPool) close() { c.transport.CloseIdleConnections() }

// clientFor returns an RPC client for the peer at address.
func (c *peerClientPool) clientFor(address netip.AddrPort) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(c.client, "http://"+address.String(),
		connect.WithReadMaxBytes(maxResponseBytes), connect.WithSendMaxBytes(maxRequestBytes))
}

func (s *Server) probe(e *ownerrouter.Effect) {
	target, address, timeout := e.Peer, e.Address, orDefault(e.Timeout, probeTimeout)
	request := &peerv1.ProbeRequest{From: uint64(s.id), Digest: digestToProto(&e.Digest)}
	sentAt := time.Now()
	s.startCall(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := s.peerClients.clientFor(address).Probe(ctx, connect.NewRequest(request))
		if err != nil {
			s.log.Debug("probe-failed", zap.Stringer("address", address), zap.Error(err))
			s.post(&ownerrouter.ProbeFailed{Target: target, Refused: errors.Is(err, syscall.ECONNREFUSED)})
			return
		}
		s.post(&ownerrouter.ProbeAcknowledged{From: target, Digest: digestFromProto(response.Msg.GetDigest()), SentAt: sentAt})
	})
}

func (s *Server) indirectProbe(e *ownerrouter.Effect) {
	target, address, timeout := e.Target, e.Address, orDefault(e.Timeout, 2*probeTimeout)
	s.startCall(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		request := &peerv1.ProbeForRequest{From: uint64(s.id), Target: uint64(target)}
		response, err := s.peerClients.clientFor(address).ProbeFor(ctx, connect.NewRequest(request))
		s.post(&ownerrouter.IndirectProbeResult{Target: target, Reachable: err == nil && response.Msg.GetAnswered()})
	})
}

func (s *Server) fetch(e *ownerrouter.Effect) {
	peer, address, timeout := e.Peer, e.Address, orDefault(e.Timeout, fetchTimeout)
	request := &peerv1.FetchRequest{From: uint64(s.id), Have: keysToProto(e.Have)}
	requestedAt := time.Now()
	s.startCall(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := s.peerClients.clientFor(address).Fetch(ctx, connect.NewRequest(request))
		if err != nil {
			s.post(&ownerrouter.FetchFailed{Peer: peer, Err: err})
			return
		}
		values := valuesFromProto(response.Msg.GetValues())
		s.post(&ownerrouter.ValuesReceived{Source: ownerrouter.FromPeer, From: peer, Values: values, RequestedAt: requestedAt})
	})
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// transfer is a queued request to a peer: a handover or a release. Exactly one
// field is set.
type transfer struct {
	handover *peerv1.HandoverRequest
	release  *peerv1.ReleaseRequest
}

// outbox queues the transfers for each peer and keeps their order.
type outbox struct {
	mu sync.Mutex
	// pending has an entry for each peer that a task is sending to.
	pending map[netip.AddrPort][]transfer
}

// push queues a transfer. It reports whether the caller has to start a sending
// task for the peer, and whether the queue had room.
func (o *outbox) push(address netip.AddrPort, t transfer) (start, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending = make(map[netip.AddrPort][]transfer)
	}
	queue, running := o.pending[address]
	if len(queue) >= maxPendingTransfers {
		return false, false
	}
	o.pending[address] = append(queue, t)
	return !running, true
}

// pop removes and returns the oldest transfer for the peer. If there is none,
// it removes the peer's entry, and the sending task has to end.
func (o *outbox) pop(address netip.AddrPort) (transfer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := o.pending[address]
	if len(queue) == 0 {
		delete(o.pending, address)
		return transfer{}, false
	}
	o.pending[address] = queue[1:]
	return queue[0], true
}

// empty reports whether no transfer is queued or in flight.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) == 0
}

func (s *Server) sendHandover(e *balancer.Effect) {
	if e.Handover != nil {
		s.transfer(e.Peer, transfer{handover: handoverToProto(s.id, e.Handover)})
	}
}

func (s *Server) requestRelease(e *balancer.Effect) {
	s.transfer(e.Peer, transfer{release: &peerv1.ReleaseRequest{From: uint64(s.id), Upstreams: idsToProto(e.Upstreams)}})
}

func (s *Server) transfer(peer view.ID, t transfer) {
	address := s.router.Address(peer)
	if !address.IsValid() {
		s.transferLost(&UnknownInstanceError{ID: peer})
		return
	}
	start, ok := s.outbox.push(address, t)
	if !ok {
		s.transferLost(&TooLargeError{What: "outbox", Limit: maxPendingTransfers})
		return
	}
	if start {
		s.startTask(func(ctx context.Context) { s.sendPendingTransfers(ctx, address) })
	}
}

// sendPendingTransfers sends the transfers queued for one peer, oldest first.
// Each is retried with exponential backoff; after transferAttempts it is
// counted as lost.
func (s *Server) sendPendingTransfers(ctx context.Context, address netip.AddrPort) {
	for {
		t, ok := s.outbox.pop(address)
		if !ok {
			return
		}
		var err error
		for attempt := range transferAttempts {
			if err = s.sendTransfer(ctx, address, t); err == nil {
				s.metrics.handoversSent.Inc()
				break
			}
			if !sleep(ctx, transferBackoff<<attempt) {
				break
			}
		}
		if err != nil {
			s.transferLost(err)
		}
	}
}

func (s *Server) sendTransfer(ctx context.Context, address netip.AddrPort, t transfer) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if t.handover != nil {
		_, err = s.peerClients.clientFor(address).Handover(ctx, connect.NewRequest(t.handover))
	} else {
		_, err = s.peerClients.clientFor(address).Release(ctx, connect.NewRequest(t.release))
	}
	return err
}

func (s *Server) transferLost(err error) {
	s.metrics.handoversLost.Inc()
	s.log.Warn("transfer-lost", zap.Error(err))
}

// sleep waits for d. It returns false if ctx is cancelled before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
