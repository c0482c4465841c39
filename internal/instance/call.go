package instance

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
	"github.com/chervilhaven/chervilhaven/internal/node"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

const (
	dialTimeout = time.Second
	// idlePeers bounds the connections kept open to peers.
	idlePeers = 64

	handoverAttempts = 4
	handoverBackOff  = 100 * time.Millisecond
	// outboxTransfers bounds the transfers that wait for one peer.
	outboxTransfers = 4096
)

// peerCaller makes calls to other instances.
type peerCaller struct {
	id        view.ID
	transport *http.Transport
	client    *http.Client
}

func newPeerCaller(id view.ID, keys *keyring.Keyring, m *counters) *peerCaller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c, metrics: m}, nil
		},
		MaxIdleConns: idlePeers, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout / 2,
		MaxResponseHeaderBytes: headerBytes, DisableCompression: true,
	}
	c := &peerCaller{id: id, transport: transport, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
	if !keys.Empty() {
		c.client.Transport = &signingTransport{keys: keys, next: transport, limit: answerBytes}
	}
	return c
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *peerCaller) close() { c.transport.CloseIdleConnections() }

// to returns a client for the peer at address.
func (c *peerCaller) to(address netip.AddrPort) peerv1connect.PeerServiceClient {
	return peerv1connect.NewPeerServiceClient(c.client, "http://"+address.String(),
		connect.WithReadMaxBytes(answerBytes), connect.WithSendMaxBytes(requestBytes))
}

func (i *Instance) probe(e *node.Effect) {
	target, address, timeout := e.Peer, e.Address, orDefault(e.Timeout, probeTimeout)
	request := &peerv1.ProbeRequest{From: uint64(i.id), Digest: digestToProto(&e.Digest)}
	asked := time.Now()
	i.call(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		answer, err := i.caller.to(address).Probe(ctx, connect.NewRequest(request))
		if err != nil {
			i.log.Debug("probe-failed", zap.Stringer("address", address), zap.Error(err))
			i.post(&node.ProbeFailed{Target: target, Refused: errors.Is(err, syscall.ECONNREFUSED)})
			return
		}
		i.post(&node.ProbeAcknowledged{From: target, Digest: digestFromProto(answer.Msg.GetDigest()), SentAt: asked})
	})
}

func (i *Instance) probeFor(e *node.Effect) {
	target, address, timeout := e.Target, e.Address, orDefault(e.Timeout, 2*probeTimeout)
	i.call(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		request := &peerv1.ProbeForRequest{From: uint64(i.id), Target: uint64(target)}
		answer, err := i.caller.to(address).ProbeFor(ctx, connect.NewRequest(request))
		i.post(&node.IndirectProbeResult{Target: target, Reachable: err == nil && answer.Msg.GetAnswered()})
	})
}

func (i *Instance) fetch(e *node.Effect) {
	peer, address, timeout := e.Peer, e.Address, orDefault(e.Timeout, fetchTimeout)
	request := &peerv1.FetchRequest{From: uint64(i.id), Have: keysToProto(e.Have)}
	asked := time.Now()
	i.call(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		answer, err := i.caller.to(address).Fetch(ctx, connect.NewRequest(request))
		if err != nil {
			i.post(&node.PeerFailed{Peer: peer, Err: err})
			return
		}
		values := valuesFromProto(answer.Msg.GetValues())
		i.post(&node.ValuesReceived{Source: node.FromPeer, From: peer, Values: values, Asked: asked})
	})
}

func orDefault(d, value time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return value
}

// transfer is a handover or a release on its way to a peer.
type transfer struct {
	handover *peerv1.HandoverRequest
	release  *peerv1.ReleaseRequest
}

// outbox keeps the transfers to each peer in order.
type outbox struct {
	mu sync.Mutex
	// pending has an entry while a task sends to the peer.
	pending map[netip.AddrPort][]transfer
}

// push adds a transfer and tells whether a task has to be started.
func (o *outbox) push(address netip.AddrPort, t transfer) (start, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending = make(map[netip.AddrPort][]transfer)
	}
	list, running := o.pending[address]
	if len(list) >= outboxTransfers {
		return false, false
	}
	o.pending[address] = append(list, t)
	return !running, true
}

// pop takes the oldest transfer to the peer, or ends the peer's entry.
func (o *outbox) pop(address netip.AddrPort) (transfer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.pending[address]
	if len(list) == 0 {
		delete(o.pending, address)
		return transfer{}, false
	}
	o.pending[address] = list[1:]
	return list[0], true
}

// empty tells that nothing waits or is on its way.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending) == 0
}

func (i *Instance) sendHandover(e *balancer.Effect) {
	if e.Handover != nil {
		i.transfer(e.Peer, transfer{handover: handoverToProto(i.id, e.Handover)})
	}
}

func (i *Instance) askRelease(e *balancer.Effect) {
	i.transfer(e.Peer, transfer{release: &peerv1.ReleaseRequest{From: uint64(i.id), Upstreams: idsToProto(e.Upstreams)}})
}

func (i *Instance) transfer(peer view.ID, t transfer) {
	address := i.reducer.Address(peer)
	if !address.IsValid() {
		i.lost(&UnknownInstanceError{ID: peer})
		return
	}
	start, ok := i.outbox.push(address, t)
	if !ok {
		i.lost(&TooLargeError{What: "outbox", Limit: outboxTransfers})
		return
	}
	if start {
		i.start(func(ctx context.Context) { i.drain(ctx, address) })
	}
}

// drain sends what waits for one peer, oldest first.
func (i *Instance) drain(ctx context.Context, address netip.AddrPort) {
	for {
		t, ok := i.outbox.pop(address)
		if !ok {
			return
		}
		var err error
		for attempt := range handoverAttempts {
			if err = i.sendTransfer(ctx, address, t); err == nil {
				i.metrics.handoversSent.Inc()
				break
			}
			if !sleep(ctx, handoverBackOff<<attempt) {
				break
			}
		}
		if err != nil {
			i.lost(err)
		}
	}
}

func (i *Instance) sendTransfer(ctx context.Context, address netip.AddrPort, t transfer) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if t.handover != nil {
		_, err = i.caller.to(address).Handover(ctx, connect.NewRequest(t.handover))
	} else {
		_, err = i.caller.to(address).Release(ctx, connect.NewRequest(t.release))
	}
	return err
}

func (i *Instance) lost(err error) {
	i.metrics.handoversLost.Inc()
	i.log.Warn("transfer-lost", zap.Error(err))
}

// sleep returns false if ctx ends first.
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
