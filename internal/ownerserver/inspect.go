package ownerserver

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Limits of the operators' interface.
const (
	// maxInspectBytes limits the size of a request.
	maxInspectBytes       = 4 << 10
	maxInspectConnections = 16
	// inspectInterval limits the rate of dumps, which occupy the event loop.
	inspectInterval = 50 * time.Millisecond
)

// inspectServer returns the read-only server for operators: metrics, Dump and
// Explain.
func (s *Server) inspectServer() *http.Server {
	h := &inspectHandler{server: s}
	path, handler := peerv1connect.NewInspectServiceHandler(h, connect.WithReadMaxBytes(maxInspectBytes))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) { h.scrape(r.Context(), w) })
	return newHTTPServer(mux)
}

// inspectHandler implements the RPCs that operators' tools call.
type inspectHandler struct {
	server *Server
	// mu is held while the router is read and for inspectInterval afterwards.
	mu sync.Mutex
}

// Dump returns the state of the router as JSON.
func (h *inspectHandler) Dump(ctx context.Context, _ *connect.Request[peerv1.DumpRequest]) (*connect.Response[peerv1.DumpResponse], error) {
	content, err := h.readJSON(ctx, func() any { return h.server.router.Dump() })
	return respond(&peerv1.DumpResponse{Json: content}, err)
}

// Explain returns the routing decision for a flow as JSON.
func (h *inspectHandler) Explain(ctx context.Context, r *connect.Request[peerv1.ExplainRequest]) (*connect.Response[peerv1.ExplainResponse], error) {
	key, err := parseFlow(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	content, err := h.readJSON(ctx, func() any { return h.server.router.Explain(key) })
	return respond(&peerv1.ExplainResponse{Json: content}, err)
}

// readJSON encodes the result of get as JSON. It does so on the event loop,
// because the result may share memory with the router.
func (h *inspectHandler) readJSON(ctx context.Context, get func() any) ([]byte, error) {
	var content []byte
	var encodeErr error
	if err := h.runOnLoop(ctx, func() { content, encodeErr = json.Marshal(get()) }); err != nil {
		return nil, err
	}
	return content, encodeErr
}

// runOnLoop runs task on the event loop, at most one task per inspectInterval.
func (h *inspectHandler) runOnLoop(ctx context.Context, task func()) error {
	h.mu.Lock()
	defer func() { time.AfterFunc(inspectInterval, h.mu.Unlock) }()
	return h.server.runOnLoop(ctx, task)
}

func parseFlow(r *peerv1.ExplainRequest) (flow.Key, error) {
	source, err := netip.ParseAddrPort(r.GetSource())
	if err != nil {
		return flow.Key{}, &FlowError{Field: "source", Cause: err}
	}
	destination, err := netip.ParseAddrPort(r.GetDestination())
	if err != nil {
		return flow.Key{}, &FlowError{Field: "destination", Cause: err}
	}
	protocol := r.GetProtocol()
	if protocol != uint32(flow.ProtocolTCP) && protocol != uint32(flow.ProtocolUDP) {
		return flow.Key{}, &FlowError{Field: "protocol", Cause: &UnknownProtocolError{Number: protocol}}
	}
	return flow.Key{Source: source, Destination: destination, Protocol: uint8(protocol)}, nil
}
