//go:build review

package main

import (
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

// item is one key of the store, or the tombstone of a deleted one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store. While it is silent it accepts
// connections and requests and answers none.
type store struct {
	address  netip.AddrPort
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	silent   bool
	changed  chan struct{}
}

func newStore(ip netip.Addr) (*store, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return nil, err
	}
	s := &store{address: netip.MustParseAddrPort(l.Addr().String()), items: map[string]item{}, revision: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.handleRange)
	mux.HandleFunc("GET /api/kv-watch", s.handleWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a key and returns once the write is acknowledged. It reports false while
// the store is silent.
func (s *store) put(key string, value any) bool {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: b})
}

func (s *store) remove(key string) bool { return s.write(item{Key: key, Tombstone: true}) }

func (s *store) write(i item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	old, ok := s.items[i.Key]
	if i.Tombstone && !ok || ok && !i.Tombstone && string(old.Value) == string(i.Value) {
		return true
	}
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if ok {
		i.Created = old.Created
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	s.silent = silent
	s.mu.Unlock()
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// serves reports whether a request may be answered. A request that meets a silent
// store is held until its caller gives up.
func (s *store) serves(r *http.Request) bool {
	if !s.isSilent() {
		return true
	}
	<-r.Context().Done()
	return false
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	if !s.serves(r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > 500
	answer(w, map[string]any{"items": list[:min(len(list), 500)], "more-pages": more, "as-of": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	if !s.serves(r) {
		return
	}
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait-ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if !s.serves(r) {
			return
		}
		if len(events) > 0 || expired {
			answer(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
	}
}
