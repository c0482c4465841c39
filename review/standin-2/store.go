package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's store, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store stands in for the platform's store. It never fails.
type store struct {
	server *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore(address netip.AddrPort) (*store, error) {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go s.server.Serve(l) //nolint:errcheck // It ends with the run.
	return s, nil
}

// put writes a key, or removes it if the value is nil.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Tombstone: value == nil}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	if i.Tombstone {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// differs reports whether a key has another value.
func (s *store) differs(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !bytes.Equal(s.items[key].Value, value)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as-of": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": 0, "as-of": s.revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more-pages": more, "as-of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
