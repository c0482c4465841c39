package tokenserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/token"
)

// FlowError reports a malformed flow parameter of a request.
type FlowError struct {
	Text  string
	Cause error
}

func (e *FlowError) Error() string {
	return fmt.Sprintf("flow %q: expected IP:PORT,IP:PORT: %v", e.Text, e.Cause)
}

// Unwrap returns the cause.
func (e *FlowError) Unwrap() error { return e.Cause }

// InspectHandler returns the handler for operators, with /metrics, /dump, /explain and
// /configuration.
func (s *Server) InspectHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.WriteMetrics(w) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		d := s.router.Dump(s.now())
		s.mu.Unlock()
		s.writeJSON(w, d)
	})
	mux.HandleFunc("GET /explain", s.serveExplain)
	mux.HandleFunc("GET /configuration", s.serveConfiguration)
	return mux
}

func (s *Server) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.router.Configuration()
	s.mu.Unlock()
	if c == nil {
		http.Error(w, "no configuration", http.StatusNotFound)
		return
	}
	s.writeJSON(w, c)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	source, destination, err := parseFlow(r.URL.Query().Get("flow"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var t uint64
	if text := r.URL.Query().Get("token"); text != "" {
		if t, err = strconv.ParseUint(text, 16, 32); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	x := s.router.Explain(s.now(), source, destination, token.Token(t))
	s.mu.Unlock()
	s.writeJSON(w, x)
}

func parseFlow(text string) (source, destination netip.AddrPort, err error) {
	a, b, _ := strings.Cut(text, ",")
	if source, err = netip.ParseAddrPort(a); err != nil {
		return source, destination, &FlowError{Text: text, Cause: err}
	}
	if destination, err = netip.ParseAddrPort(b); err != nil {
		return source, destination, &FlowError{Text: text, Cause: err}
	}
	return source, destination, nil
}

func (s *Server) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		s.log.Debug("inspect", zap.Error(err))
	}
}
