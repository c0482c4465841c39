package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/edge"
	"github.com/chervilhaven/chervilhaven/internal/peer/edgev1"
	"github.com/chervilhaven/chervilhaven/internal/peer/edgev1/edgev1connect"
)

const (
	// messageBytes is the largest datagram between instances.
	messageBytes = 16 << 10
	// catalogBytes bounds the answer to a fetch.
	catalogBytes = 16 << 20
	// fetchDial bounds the time to connect to a peer.
	fetchDial = 300 * time.Millisecond
	// fetchIdle is the time that a connection to a peer is kept unused.
	fetchIdle = 2 * time.Second
	// headerTimeout bounds the time to read the head of a call.
	headerTimeout = time.Second
)

// readPeers gives the datagrams of other instances to the reducer.
func (h *Host) readPeers() {
	buffer := make([]byte, messageBytes)
	var wire edgev1.Message
	for {
		n, from, err := h.peers.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.metrics.readErrors.Inc()
			continue
		}
		if err := proto.Unmarshal(buffer[:n], &wire); err != nil {
			h.metrics.malformed.Inc()
			h.log.Debug("message-malformed", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		h.metrics.messages.Inc()
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		h.apply(&edge.MessageReceived{From: from, Message: messageFromProto(&wire)})
	}
}

// tell sends a datagram to another instance. News that do not fit are left to
// be fetched.
func (h *Host) tell(to netip.AddrPort, m *edge.Message) {
	wire := messageToProto(m)
	b, err := proto.Marshal(wire)
	if err == nil && len(b) > messageBytes {
		wire.News = nil
		b, err = proto.Marshal(wire)
	}
	if err == nil {
		_, err = h.peers.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		h.metrics.writeErrors.Inc()
		h.log.Debug("tell-failed", zap.Stringer("to", to), zap.Error(err))
	}
}

// catalogHandler answers the fetches of other instances.
type catalogHandler struct{ host *Host }

// Fetch returns what changed after a revision.
func (c catalogHandler) Fetch(_ context.Context, r *connect.Request[edgev1.FetchRequest]) (*connect.Response[edgev1.FetchResponse], error) {
	c.host.mu.Lock()
	b := c.host.edge.Catalog(catalog.Revision(r.Msg.GetSince()))
	c.host.mu.Unlock()
	return connect.NewResponse(&edgev1.FetchResponse{Batch: batchToProto(&b)}), nil
}

func (h *Host) catalogServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(edgev1connect.NewCatalogServiceHandler(catalogHandler{h}))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * fetchIdle}
}

func (h *Host) serveCatalog() {
	if err := h.server.Serve(h.calls); !errors.Is(err, http.ErrServerClosed) {
		h.log.Error("peers", zap.Error(err))
	}
}

// fetcher calls other instances.
type fetcher struct{ client *http.Client }

func newFetcher() *fetcher {
	dialer := &net.Dialer{Timeout: fetchDial}
	return &fetcher{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: fetchIdle, DisableCompression: true,
	}}}
}

// fetch asks a peer for what changed after a revision.
func (h *Host) fetch(peer netip.AddrPort, since catalog.Revision, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(h.work, timeout)
	defer cancel()
	h.metrics.fetches.Inc()
	client := edgev1connect.NewCatalogServiceClient(h.fetcher.client, "http://"+peer.String(), connect.WithReadMaxBytes(catalogBytes))
	answer, err := client.Fetch(ctx, connect.NewRequest(&edgev1.FetchRequest{Since: uint64(since)}))
	if err != nil {
		h.apply(&edge.FetchFailed{From: peer, Err: err})
		return
	}
	h.apply(&edge.Fetched{From: peer, Batch: batchFromProto(answer.Msg.GetBatch())})
}
