// Package kvstore simulates the operators' key-value store. Keys have revisions
// and can be read and watched over HTTP. The store can delay, reject or drop
// requests to simulate faults.
package kvstore

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxWait is the longest time that a watch waits for a change.
	maxWait = 30 * time.Second
	// defaultPageSize is the maximum number of items in a range response.
	defaultPageSize   = 500
	readHeaderTimeout = 5 * time.Second
	// headerEra names the header of each response that holds the era.
	headerEra = "Store-Era"
	// unresponsiveHold is the time for which an unresponsive store holds a request
	// before it closes the connection.
	unresponsiveHold = time.Minute
)

// FaultMode selects how the store fails requests. The zero value is NoFault.
type FaultMode int

// Fault modes.
const (
	// NoFault serves requests normally.
	NoFault FaultMode = iota
	// Unavailable responds to every request with status 503.
	Unavailable
	// RateLimited responds to every request with status 429.
	RateLimited
	// Unresponsive holds each request for a minute and then closes the
	// connection without a response.
	Unresponsive
	// Reset closes the connection at once without a response.
	Reset
)

// Item is a key with its value, or the tombstone of a deleted key.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a simulated key-value store. Its methods are safe for concurrent
// use.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision uint64
	// era counts the restores from a copy. Each response names it.
	era uint64
	// compactedRevision is the revision up to which the history was discarded.
	compactedRevision uint64
	pageSize          int
	faultMode         FaultMode
	// faultyClients are the client addresses to which faultMode applies. If
	// empty, it applies to all clients.
	faultyClients map[netip.Addr]bool
	delay         time.Duration
	// changed is closed and replaced at each write, to wake the waiting
	// watches.
	changed chan struct{}
	// rateLimitedCalls is the number of requests that count towards the store's
	// rate limit: all but serializable reads.
	rateLimitedCalls int
	// serializableItems and serializableRevision are the state that
	// serializable reads return. If nil, they return the current state.
	serializableItems    map[string]Item
	serializableRevision uint64
	done                 chan struct{}
}

// New returns a store that listens on a free port of the address. Serve starts
// to serve.
func New(address netip.Addr) (*Store, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return nil, errors.Wrap(err, "store listen")
	}
	s := &Store{
		listener: l, items: make(map[string]Item), pageSize: defaultPageSize, era: 1,
		changed: make(chan struct{}), done: make(chan struct{}), faultyClients: make(map[netip.Addr]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.withFaults(s.handleRange))
	mux.HandleFunc("GET /api/kv-watch", s.withFaults(s.handleWatch))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s, nil
}

// Serve serves requests until Close is called.
func (s *Store) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the server. It must be called only once.
func (s *Store) Close() error {
	close(s.done)
	return s.server.Close()
}

// Address returns the TCP address of the listener.
func (s *Store) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Put writes a key and returns the revision of the write.
func (s *Store) Put(key string, value []byte) uint64 { return s.apply(Item{Key: key, Value: value}) }

// Has reports whether a key has a value, which may be nil for any value.
func (s *Store) Has(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return ok && (value == nil || bytes.Equal(i.Value, value))
}

// Delete writes a tombstone for the key and returns its revision.
func (s *Store) Delete(key string) uint64 { return s.apply(Item{Key: key, Tombstone: true}) }

func (s *Store) apply(i Item) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// SetFaultMode sets the fault mode for requests from the given addresses, or
// from all clients if none is given.
func (s *Store) SetFaultMode(mode FaultMode, addresses ...netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultMode = mode
	clear(s.faultyClients)
	for _, a := range addresses {
		s.faultyClients[a] = true
	}
}

// SetDelay delays each response by the given duration.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetPageSize sets the maximum number of items in a range response.
func (s *Store) SetPageSize(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = items
}

// Compact discards the history up to the current revision. A watch from an
// earlier revision then fails with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
}

// Copy is the content of a store at some time.
type Copy struct {
	items    map[string]Item
	history  []Item
	revision uint64
	// compactedRevision is that of the store at the time of the copy.
	compactedRevision uint64
}

// Copy returns a copy of the content, for Restore.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{maps.Clone(s.items), slices.Clone(s.history), s.revision, s.compactedRevision}
}

// Restore replaces the content by a copy, as after a restore from a backup: the
// changes since are lost, their revisions are given out again, and the era rises.
// Waiting watches are woken.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.serializableItems = nil
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// FreezeSerializableReads makes all later serializable reads return the state at
// the time of the call, as a replica that lags behind does.
func (s *Store) FreezeSerializableReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serializableItems, s.serializableRevision = maps.Clone(s.items), s.revision
}

// RateLimitedCalls returns the number of requests so far that count towards the
// rate limit: all but serializable reads.
func (s *Store) RateLimitedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimitedCalls
}

// withFaults wraps a handler to count requests and to apply the delay and the
// fault mode.
func (s *Store) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if !isSerializable(r) {
			s.rateLimitedCalls++
		}
		w.Header().Set(headerEra, strconv.FormatUint(s.era, 10))
		faultMode, delay := s.faultMode, s.delay
		if from, err := netip.ParseAddrPort(r.RemoteAddr); len(s.faultyClients) > 0 && (err != nil || !s.faultyClients[from.Addr()]) {
			faultMode = NoFault
		}
		s.mu.Unlock()
		s.sleep(r, delay)
		switch faultMode {
		case Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case RateLimited:
			w.WriteHeader(http.StatusTooManyRequests)
		case Unresponsive:
			s.sleep(r, unresponsiveHold)
			panic(http.ErrAbortHandler)
		case Reset:
			panic(http.ErrAbortHandler)
		case NoFault:
			handler(w, r)
		}
	}
}

func (s *Store) sleep(r *http.Request, d time.Duration) {
	if d == 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	case <-s.done:
	}
}

type rangeResponse struct {
	Items     []Item `json:"items"`
	MorePages bool   `json:"more-pages"`
	AsOf      uint64 `json:"as-of"`
	// era is that of the content. Its header is set with the response.
	era uint64
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	response, items := rangeResponse{Items: []Item{}, AsOf: s.revision, era: s.era}, s.items
	if s.serializableItems != nil && isSerializable(r) {
		response.AsOf, items = s.serializableRevision, s.serializableItems
	}
	for key, i := range items {
		if strings.HasPrefix(key, prefix) && key > after {
			response.Items = append(response.Items, i)
		}
	}
	page := s.pageSize
	s.mu.Unlock()
	slices.SortFunc(response.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	if len(response.Items) > page {
		response.Items, response.MorePages = response.Items[:page], true
	}
	writeJSON(w, response.era, response)
}

// isSerializable reports whether the request is a read that accepts stale data.
func isSerializable(r *http.Request) bool { return r.URL.Query().Get("serializable") == "1" }

type watchResponse struct {
	Events []Item `json:"events"`
	AsOf   uint64 `json:"as-of"`
	era    uint64
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for {
		response, lost, changed := s.changesSince(after, q.Get("prefix"))
		switch {
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(response.Events) > 0:
			writeJSON(w, response.era, response)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, response.era, response)
			return
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

// changesSince returns the changes after a revision, whether compaction or a restore
// has discarded some of them, and a channel that is closed at the next change.
func (s *Store) changesSince(after uint64, prefix string) (response watchResponse, lost bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response = watchResponse{Events: []Item{}, AsOf: s.revision, era: s.era}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			response.Events = append(response.Events, i)
		}
	}
	return response, after < s.compactedRevision || after > s.revision, s.changed
}

// writeJSON writes a response whose content is of the given era.
func writeJSON(w http.ResponseWriter, era uint64, body any) {
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // Encoding fails only if the client has disconnected, and it will retry.
}
