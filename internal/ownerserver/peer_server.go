package ownerserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Limits of the requests between instances.
const (
	// maxRequestBytes limits the size of a request from a peer.
	maxRequestBytes = 64 << 10
	// maxPeerConnections limits the connections accepted from peers. Together
	// with maxRequestBytes it limits the memory that unauthenticated clients
	// can occupy.
	maxPeerConnections = 256
	// maxConcurrentFetches limits the Fetch responses held in memory.
	maxConcurrentFetches = 4
	// maxFetchBytes limits the values in one Fetch response. A single larger
	// value is sent alone.
	maxFetchBytes = 4 << 20
	// maxResponseBytes leaves room for one value of a megabyte in addition to
	// maxFetchBytes.
	maxResponseBytes = maxFetchBytes + view.MaxValueBytes + 1<<16

	// probeTimeout limits a probe, and fetchTimeout a fetch, if the effect sets
	// no timeout. callTimeout limits one attempt to send a handover or a release
	// request.
	probeTimeout = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
	fetchTimeout = 5 * time.Second

	// The following limits apply to the HTTP servers for peers and operators.
	headerTimeout  = 2 * time.Second
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// peerServer returns the RPC server for other instances. Requests are
// authenticated if keys are configured.
func (s *Server) peerServer() *http.Server {
	path, handler := peerv1connect.NewPeerServiceHandler(&peerHandler{server: s},
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(1024))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	var root http.Handler = mux
	if !s.keys.Empty() {
		root = &authenticator{keys: s.keys, metrics: s.metrics, next: mux, limit: maxRequestBytes}
	}
	return newHTTPServer(root)
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (s *Server) serve(server *http.Server, l net.Listener, name string) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.log.Error("serve", zap.String("address", name), zap.Error(err))
	}
}

// peerHandler implements the RPCs that other instances call.
type peerHandler struct{ server *Server }

// Probe passes the peer's digest to the router and responds with the router's
// own.
func (h *peerHandler) Probe(ctx context.Context, r *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	s := h.server
	event := &ownerrouter.ProbeReceived{From: view.ID(r.Msg.GetFrom()), Digest: digestFromProto(r.Msg.GetDigest())}
	response := &peerv1.ProbeResponse{}
	err := s.runOnLoop(ctx, func() {
		for _, e := range s.router.Apply(time.Now(), event) {
			if e.Kind == ownerrouter.ProbeReply {
				response.Digest = digestToProto(&e.Digest)
				continue
			}
			s.execute(&e, nil, nil)
		}
	})
	return respond(response, err)
}

// ProbeFor probes a third instance on behalf of a peer (an indirect probe).
func (h *peerHandler) ProbeFor(ctx context.Context, r *connect.Request[peerv1.ProbeForRequest]) (*connect.Response[peerv1.ProbeForResponse], error) {
	s := h.server
	var target netip.AddrPort
	err := s.runOnLoop(ctx, func() { target = s.router.Address(view.ID(r.Msg.GetTarget())) })
	if err != nil || !target.IsValid() {
		return respond(&peerv1.ProbeForResponse{}, err)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err = s.peerClients.clientFor(target).Probe(ctx, connect.NewRequest(&peerv1.ProbeRequest{From: uint64(s.id)}))
	return respond(&peerv1.ProbeForResponse{Answered: err == nil}, nil)
}

// Fetch responds with the values that are newer than those of the peer.
func (h *peerHandler) Fetch(ctx context.Context, r *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	s := h.server
	select {
	case s.fetchSlots <- struct{}{}:
		defer func() { <-s.fetchSlots }()
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
	have := keysFromProto(r.Msg.GetHave())
	response := &peerv1.FetchResponse{}
	err := s.runOnLoop(ctx, func() { response.Values = valuesToProto(s.router.Newer(have), maxFetchBytes) })
	return respond(response, err)
}

// Handover receives the state of an upstream from its previous owner.
func (h *peerHandler) Handover(ctx context.Context, r *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	from := view.ID(r.Msg.GetFrom())
	err := h.applyFromPeer(ctx, from, &balancer.HandoverReceived{From: from, Handover: handoverFromProto(r.Msg)})
	return respond(&peerv1.HandoverResponse{}, err)
}

// Release receives a peer's request that this instance hand over upstreams.
func (h *peerHandler) Release(ctx context.Context, r *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	from := view.ID(r.Msg.GetFrom())
	err := h.applyFromPeer(ctx, from, &balancer.ReleaseRequested{From: from, Upstreams: idsFromProto(r.Msg.GetUpstreams())})
	return respond(&peerv1.ReleaseResponse{}, err)
}

// applyFromPeer passes an event to the router if the router knows the sender.
// Otherwise it returns UnknownInstanceError.
func (h *peerHandler) applyFromPeer(ctx context.Context, from view.ID, event ownerrouter.Event) error {
	s := h.server
	known := false
	err := s.runOnLoop(ctx, func() {
		if known = s.router.Address(from).IsValid(); known {
			s.apply(time.Now(), event)
		}
	})
	if err == nil && !known {
		s.metrics.unauthenticated.Inc()
		return &UnknownInstanceError{ID: from}
	}
	return err
}

func respond[T any](message *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(message), nil
}
