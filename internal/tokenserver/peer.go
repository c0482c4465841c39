package tokenserver

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
	"github.com/chervilhaven/chervilhaven/internal/peer/edgev1"
	"github.com/chervilhaven/chervilhaven/internal/peer/edgev1/edgev1connect"
	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
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

// errNoDataCentre reports a datagram that no instance sent.
var errNoDataCentre = errors.New("the data centre is missing")

// readPeers passes datagrams of other instances to the state machine.
func (s *Server) readPeers() {
	buffer := make([]byte, maxMessageBytes)
	var message edgev1.Message
	for {
		n, from, err := s.peerConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.metrics.readErrors.Inc()
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		s.handleMessage(buffer[:n], from, &message)
	}
}

// handleMessage decodes a datagram of another instance into message and passes it to
// the state machine. Instances name their data centre in each message.
func (s *Server) handleMessage(datagram []byte, from netip.AddrPort, message *edgev1.Message) {
	defer s.containPanic(message)
	err := proto.Unmarshal(datagram, message)
	if err == nil && message.GetDataCentre() == "" {
		err = errNoDataCentre
	}
	if err != nil {
		s.metrics.malformedDatagrams.Inc()
		s.log.Debug("message-malformed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.metrics.messagesReceived.Inc()
	s.apply(&tokenrouter.MessageReceived{From: from, Message: messageFromProto(message)})
}

// sendMessage sends a datagram to another instance. It omits catalog changes that
// do not fit: the receiver fetches them.
func (s *Server) sendMessage(to netip.AddrPort, m *tokenrouter.Message) {
	message := messageToProto(m)
	b, err := proto.Marshal(message)
	if err == nil && len(b) > maxMessageBytes {
		message.News = nil
		b, err = proto.Marshal(message)
	}
	if err == nil {
		_, err = s.peerConn.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		s.metrics.writeErrors.Inc()
		s.log.Debug("tell-failed", zap.Stringer("to", to), zap.Error(err))
	}
}

// catalogHandler implements the CatalogService, from which other instances fetch
// catalog changes.
type catalogHandler struct{ server *Server }

// Fetch returns the catalog changes after a position.
func (c catalogHandler) Fetch(_ context.Context, r *connect.Request[edgev1.FetchRequest]) (*connect.Response[edgev1.FetchResponse], error) {
	c.server.mu.Lock()
	b := c.server.router.CatalogSince(catalog.Position{Era: catalog.Era(r.Msg.GetSinceEra()), Revision: catalog.Revision(r.Msg.GetSince())})
	c.server.mu.Unlock()
	return connect.NewResponse(&edgev1.FetchResponse{Batch: batchToProto(&b)}), nil
}

func (s *Server) newCatalogServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(edgev1connect.NewCatalogServiceHandler(catalogHandler{s}))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * fetchIdleTimeout}
}

func (s *Server) serveCatalog() {
	if err := s.catalogServer.Serve(s.catalogListener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("peers", zap.Error(err))
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

// fetchCatalog fetches the catalog changes after a position from a peer and applies
// the result.
func (s *Server) fetchCatalog(peer netip.AddrPort, since catalog.Position, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.taskContext, timeout)
	defer cancel()
	s.metrics.fetches.Inc()
	client := edgev1connect.NewCatalogServiceClient(s.fetcher.client, "http://"+peer.String(), connect.WithReadMaxBytes(maxFetchBytes))
	response, err := client.Fetch(ctx, connect.NewRequest(&edgev1.FetchRequest{Since: uint64(since.Revision), SinceEra: uint64(since.Era)}))
	if err != nil {
		s.apply(&tokenrouter.FetchFailed{From: peer, Err: err})
		return
	}
	s.apply(&tokenrouter.Fetched{From: peer, Batch: batchFromProto(response.Msg.GetBatch())})
}
