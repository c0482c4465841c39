package instance

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
	"github.com/chervilhaven/chervilhaven/internal/node"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Bounds of the calls between instances.
const (
	// requestBytes is the largest request of a peer.
	requestBytes = 64 << 10
	// peerConnections bounds the connections that peers hold open. With
	// requestBytes it bounds what strangers can make an instance keep.
	peerConnections = 256
	// concurrentFetches bounds the answers to Fetch in memory.
	concurrentFetches = 4
	// fetchBytes bounds the values in one answer to Fetch.
	fetchBytes = 4 << 20
	// answerBytes leaves room for one value of a megabyte beyond fetchBytes.
	answerBytes = fetchBytes + view.MaxValueBytes + 1<<16

	probeTimeout = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
	fetchTimeout = 5 * time.Second

	headerTimeout = 2 * time.Second
	readTimeout   = 5 * time.Second
	writeTimeout  = 10 * time.Second
	idleTimeout   = 30 * time.Second
	headerBytes   = 8 << 10
)

// peerServer serves the other instances.
func (i *Instance) peerServer() *http.Server {
	path, handler := peerv1connect.NewPeerServiceHandler(&peerHandler{instance: i},
		connect.WithReadMaxBytes(requestBytes), connect.WithCompressMinBytes(1024))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	var root http.Handler = mux
	if !i.keys.Empty() {
		root = &authenticator{keys: i.keys, metrics: i.metrics, next: mux, limit: requestBytes}
	}
	return newServer(root)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
}

func (i *Instance) serve(s *http.Server, l net.Listener, name string) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.log.Error("serve", zap.String("address", name), zap.Error(err))
	}
}

// peerHandler answers the calls of other instances.
type peerHandler struct{ instance *Instance }

// Probe gives the digest to the node and answers with the node's own.
func (h *peerHandler) Probe(ctx context.Context, r *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	i := h.instance
	event := &node.ProbeReceived{From: view.ID(r.Msg.GetFrom()), Digest: digestFromProto(r.Msg.GetDigest())}
	answer := &peerv1.ProbeResponse{}
	err := i.ask(ctx, func() {
		for _, e := range i.reducer.Apply(time.Now(), event) {
			if e.Kind == node.AnswerProbe {
				answer.Digest = digestToProto(&e.Digest)
				continue
			}
			i.carryOut(&e, nil, nil)
		}
	})
	return respond(answer, err)
}

// ProbeFor probes a third instance for a peer.
func (h *peerHandler) ProbeFor(ctx context.Context, r *connect.Request[peerv1.ProbeForRequest]) (*connect.Response[peerv1.ProbeForResponse], error) {
	i := h.instance
	var target netip.AddrPort
	err := i.ask(ctx, func() { target = i.reducer.Address(view.ID(r.Msg.GetTarget())) })
	if err != nil || !target.IsValid() {
		return respond(&peerv1.ProbeForResponse{}, err)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err = i.caller.to(target).Probe(ctx, connect.NewRequest(&peerv1.ProbeRequest{From: uint64(i.id)}))
	return respond(&peerv1.ProbeForResponse{Answered: err == nil}, nil)
}

// Fetch answers with the values newer than those of the peer.
func (h *peerHandler) Fetch(ctx context.Context, r *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	i := h.instance
	select {
	case i.fetches <- struct{}{}:
		defer func() { <-i.fetches }()
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
	have := keysFromProto(r.Msg.GetHave())
	answer := &peerv1.FetchResponse{}
	err := i.ask(ctx, func() { answer.Values = valuesToProto(i.reducer.Newer(have), fetchBytes) })
	return respond(answer, err)
}

// Handover takes over state of an upstream.
func (h *peerHandler) Handover(ctx context.Context, r *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	from := view.ID(r.Msg.GetFrom())
	err := h.accept(ctx, from, &balancer.HandoverReceived{From: from, Handover: handoverFromProto(r.Msg)})
	return respond(&peerv1.HandoverResponse{}, err)
}

// Release asks the node to let go of upstreams.
func (h *peerHandler) Release(ctx context.Context, r *connect.Request[peerv1.ReleaseRequest]) (*connect.Response[peerv1.ReleaseResponse], error) {
	from := view.ID(r.Msg.GetFrom())
	err := h.accept(ctx, from, &balancer.ReleaseRequested{From: from, Upstreams: idsFromProto(r.Msg.GetUpstreams())})
	return respond(&peerv1.ReleaseResponse{}, err)
}

// accept gives an event to the node if it knows the sender.
func (h *peerHandler) accept(ctx context.Context, from view.ID, event node.Event) error {
	i := h.instance
	known := false
	err := i.ask(ctx, func() {
		if known = i.reducer.Address(from).IsValid(); known {
			i.apply(time.Now(), event)
		}
	})
	if err == nil && !known {
		i.metrics.unauthenticated.Inc()
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
