package host

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

// InspectHandler returns the handler for operators, with /metrics, /dump and
// /explain.
func (h *Host) InspectHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.WriteMetrics(w) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		d := h.edge.Dump(h.now())
		h.mu.Unlock()
		h.writeJSON(w, d)
	})
	mux.HandleFunc("GET /explain", h.serveExplain)
	return mux
}

func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request) {
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
	h.mu.Lock()
	x := h.edge.Explain(h.now(), source, destination, token.Token(t))
	h.mu.Unlock()
	h.writeJSON(w, x)
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

func (h *Host) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		h.log.Debug("inspect", zap.Error(err))
	}
}
