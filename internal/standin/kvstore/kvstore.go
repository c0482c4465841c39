// Package kvstore is a stand-in for the operators' store: keys with revisions
// that can be read and watched over HTTP, and the troubles that it may have.
package kvstore

import (
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
	// maxWait is the longest time that a watch may wait.
	maxWait = 30 * time.Second
	// defaultPageSize is the number of items of a page.
	defaultPageSize   = 500
	readHeaderTimeout = 5 * time.Second
	// silentHold is the time for which a silent store holds a call.
	silentHold = time.Minute
)

// Trouble is how the store treats calls.
type Trouble int

// Troubles of the store.
const (
	// None answers calls.
	None Trouble = iota
	// Busy answers 503.
	Busy
	// Limited answers 429.
	Limited
	// Silent does not answer.
	Silent
	// Reset closes connections without an answer.
	Reset
)

// Item is one key. A tombstone marks a deletion.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store holds keys and their history.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu                sync.Mutex
	items             map[string]Item
	history           []Item
	revision          uint64
	compactedRevision uint64
	pageSize          int
	trouble           Trouble
	// faultyClients are the addresses that are treated by the trouble; empty means all.
	faultyClients map[netip.Addr]bool
	delay         time.Duration
	changed       chan struct{}
	// rateLimitedCalls is the number of calls that count towards the rate limit.
	rateLimitedCalls int
	// serializableItems and staleAt are what serializable reads see, nil for the newest.
	serializableItems    map[string]Item
	serializableRevision uint64
	done                 chan struct{}
}

// New returns a store that listens on a free port of the address.
func New(address netip.Addr) (*Store, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return nil, errors.Wrap(err, "store listen")
	}
	s := &Store{
		listener: l, items: make(map[string]Item), pageSize: defaultPageSize,
		changed: make(chan struct{}), done: make(chan struct{}), faultyClients: make(map[netip.Addr]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.withFaults(s.handleRange))
	mux.HandleFunc("GET /api/kv-watch", s.withFaults(s.handleWatch))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s, nil
}

// Serve answers calls until Close.
func (s *Store) Serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the store.
func (s *Store) Close() error {
	close(s.done)
	return s.server.Close()
}

// Address returns where the store listens.
func (s *Store) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// Put writes a key and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 { return s.apply(Item{Key: key, Value: value}) }

// Delete removes a key.
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

// SetTrouble treats the calls of the addresses so, or all calls.
func (s *Store) SetTrouble(t Trouble, addresses ...netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
	clear(s.faultyClients)
	for _, a := range addresses {
		s.faultyClients[a] = true
	}
}

// SetDelay delays each answer.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetPage bounds the items of a page.
func (s *Store) SetPage(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = items
}

// ForgetHistory drops all changes made so far.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
}

// HoldSerializable makes serializable reads see the store as it is now from here
// on.
func (s *Store) HoldSerializable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serializableItems, s.serializableRevision = maps.Clone(s.items), s.revision
}

// LimitedCalls returns the number of calls so far that count towards the rate
// limit.
func (s *Store) LimitedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimitedCalls
}

// withFaults treats a call by the trouble in force.
func (s *Store) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if !isSerializable(r) {
			s.rateLimitedCalls++
		}
		trouble, delay := s.trouble, s.delay
		if from, err := netip.ParseAddrPort(r.RemoteAddr); len(s.faultyClients) > 0 && (err != nil || !s.faultyClients[from.Addr()]) {
			trouble = None
		}
		s.mu.Unlock()
		s.sleep(r, delay)
		switch trouble {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Limited:
			w.WriteHeader(http.StatusTooManyRequests)
		case Silent:
			s.sleep(r, silentHold)
			panic(http.ErrAbortHandler)
		case Reset:
			panic(http.ErrAbortHandler)
		case None:
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
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	response, items := rangeResponse{Items: []Item{}, AsOf: s.revision}, s.items
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
	writeJSON(w, response)
}

// isSerializable tells whether a read may be old.
func isSerializable(r *http.Request) bool { return r.URL.Query().Get("serializable") == "1" }

type watchResponse struct {
	Events []Item `json:"events"`
	AsOf   uint64 `json:"as-of"`
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
		response, compacted, changed := s.changesSince(after, q.Get("prefix"))
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(response.Events) > 0:
			writeJSON(w, response)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, response)
			return
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

// changesSince returns the changes after a revision, whether some are lost, and what
// tells of the next one.
func (s *Store) changesSince(after uint64, prefix string) (response watchResponse, compacted bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response = watchResponse{Events: []Item{}, AsOf: s.revision}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			response.Events = append(response.Events, i)
		}
	}
	return response, after < s.compactedRevision, s.changed
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The reader is gone; it will ask again.
}
