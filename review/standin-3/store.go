package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxWatchWait = 30 * time.Second
	storeDelay   = 4 * time.Millisecond
)

// item is one key of the store, or one event of a watch.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	// refuses tells whether the store gives no response to a machine.
	refuses func(ip string) bool
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 1, items: make(map[string]item)}
}

// put writes a key. A value that is there already makes no change.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.items[key]
	if ok && string(old.Value) == string(value) {
		return
	}
	s.revision++
	created := s.revision
	if ok {
		created = old.Created
	}
	s.record(item{Key: key, Value: value, Revision: s.revision, Created: created})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.record(item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) record(i item) {
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(address string) (*http.Server, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.handle(s.readRange))
	mux.HandleFunc("GET /api/kv-watch", s.handle(s.watch))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// handle leaves the calls of machines that the store refuses without a response.
func (s *store) handle(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ip, _, _ := net.SplitHostPort(r.RemoteAddr)
		if s.refuses != nil && s.refuses(ip) {
			<-r.Context().Done()
			return
		}
		time.Sleep(storeDelay)
		h(w, r)
	}
}

func respond(w http.ResponseWriter, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := make([]item, 0, len(s.items))
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	respond(w, map[string]any{"items": items, "more-pages": false, "as-of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	milliseconds, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(min(time.Duration(milliseconds)*time.Millisecond, maxWatchWait))
	for {
		events, revision, changed := s.since(q.Get("prefix"), after)
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			respond(w, map[string]any{"events": events, "as-of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed
}
