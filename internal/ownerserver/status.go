package ownerserver

import (
	"context"
	"net/http"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

const (
	statusTimeout = time.Second
	// maxStatusBytes limits the response of a health or load endpoint.
	maxStatusBytes = 4 << 10
)

// healthResponse is the response of an upstream's health endpoint.
type healthResponse struct {
	Ready    bool      `json:"ready"`
	Draining bool      `json:"draining"`
	Started  time.Time `json:"started"`
}

// loadResponse is the response of an upstream's load endpoint.
type loadResponse struct {
	Open     int  `json:"open"`
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Shedding bool `json:"shedding"`
}

// pollStatus polls the status endpoints of an upstream unless a poll of it is
// already in flight.
func (s *Server) pollStatus(id view.ID) {
	v := s.router.View()
	if v == nil || s.polling[id] {
		return
	}
	upstream, ok := v.Upstream(id)
	if !ok {
		return
	}
	s.polling[id] = true
	base := "http://" + upstream.Status.String()
	s.startCall(func(ctx context.Context) {
		report := s.readStatus(ctx, base)
		report.Upstream = id
		s.post(report)
	})
}

// readStatus reads the health and load endpoints. An upstream that is not ready
// responds with 503, which does not count as an error.
func (s *Server) readStatus(ctx context.Context, base string) *balancer.StatusReported {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s.metrics.statusPolls.Inc()
	var h healthResponse
	var l loadResponse
	code, err := getJSON(ctx, s.client, base+"/health", maxStatusBytes, &h, http.StatusServiceUnavailable)
	if err == nil {
		_, err = getJSON(ctx, s.client, base+"/load", maxStatusBytes, &l)
	}
	if err != nil {
		s.metrics.statusErrors.Inc()
	}
	return &balancer.StatusReported{
		Err: err, Ready: h.Ready && code == http.StatusOK, Draining: h.Draining, Started: h.Started,
		Open: l.Open, Busy: l.Busy, Shedding: l.Shedding,
	}
}
