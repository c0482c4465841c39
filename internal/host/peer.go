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
	// maxMessageBytes bounds a datagram between instances.
	maxMessageBytes = 16 << 10
	// maxFetchBytes bounds the response to a fetch.
	maxFetchBytes = 16 << 20
	// fetchDialTimeout bounds the time to connect to a peer.
	fetchDialTimeout = 300 * time.Millisecond
	// fetchIdleTimeout is the time after which an idle connection to a peer is closed.
	fetchIdleTimeout = 2 * time.Second
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = time.Second
)

// readPeers passes datagrams of other instances to the state machine.
func (h *Host) readPeers() {
	buffer := make([]byte, maxMessageBytes)
	var message edgev1.Message
	for {
		n, from, err := h.peerConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.metrics.readErrors.Inc()
			continue
		}
		if err := proto.Unmarshal(buffer[:n], &message); err != nil {
			h.metrics.malformedDatagrams.Inc()
			h.log.Debug("message-malformed", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		h.metrics.messagesReceived.Inc()
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		h.apply(&edge.MessageReceived{From: from, Message: messageFromProto(&message)})
	}
}

// sendMessage sends a datagram to another instance. It omits catalog changes that
// do not fit: the receiver fetches them.
func (h *Host) sendMessage(to netip.AddrPort, m *edge.Message) {
	message := messageToProto(m)
	b, err := proto.Marshal(message)
	if err == nil && len(b) > maxMessageBytes {
		message.News = nil
		b, err = proto.Marshal(message)
	}
	if err == nil {
		_, err = h.peerConn.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		h.metrics.writeErrors.Inc()
		h.log.Debug("tell-failed", zap.Stringer("to", to), zap.Error(err))
	}
}

// catalogHandler implements the CatalogService, from which other instances fetch
// catalog changes.
type catalogHandler struct{ host *Host }

// Fetch returns the catalog changes after a revision.
func (c catalogHandler) Fetch(_ context.Context, r *connect.Request[edgev1.FetchRequest]) (*connect.Response[edgev1.FetchResponse], error) {
	c.host.mu.Lock()
	b := c.host.edge.Catalog(catalog.Revision(r.Msg.GetSince()))
	c.host.mu.Unlock()
	return connect.NewResponse(&edgev1.FetchResponse{Batch: batchToProto(&b)}), nil
}

func (h *Host) newCatalogServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(edgev1connect.NewCatalogServiceHandler(catalogHandler{h}))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * fetchIdleTimeout}
}

func (h *Host) serveCatalog() {
	if err := h.catalogServer.Serve(h.catalogListener); !errors.Is(err, http.ErrServerClosed) {
		h.log.Error("peers", zap.Error(err))
	}
}

// fetcher holds the HTTP client for the CatalogService of other instances.
type fetcher struct{ client *http.Client }

func newFetcher() *fetcher {
	dialer := &net.Dialer{Timeout: fetchDialTimeout}
	return &fetcher{client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: fetchIdleTimeout, DisableCompression: true,
	}}}
}

// fetchCatalog fetches the catalog changes after a revision from a peer and applies
// the result.
func (h *Host) fetchCatalog(peer netip.AddrPort, since catalog.Revision, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(h.taskContext, timeout)
	defer cancel()
	h.metrics.fetches.Inc()
	client := edgev1connect.NewCatalogServiceClient(h.fetcher.client, "http://"+peer.String(), connect.WithReadMaxBytes(maxFetchBytes))
	response, err := client.Fetch(ctx, connect.NewRequest(&edgev1.FetchRequest{Since: uint64(since)}))
	if err != nil {
		h.apply(&edge.FetchFailed{From: peer, Err: err})
		return
	}
	h.apply(&edge.Fetched{From: peer, Batch: batchFromProto(response.Msg.GetBatch())})
}
