package upstream_test

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/fake/upstream"
)

func newUpstream(t *testing.T) *upstream.Upstream {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	u, err := upstream.New(upstream.Config{
		Name: "u", Service: 1, Packets: loopback, Status: loopback, ReturnAddress: loopback, Slots: 2, Connections: 100, Warm: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = u.Run(t.Context()) }()
	return u
}

func get[T any](t *testing.T, u *upstream.Upstream, path string) (int, T) {
	t.Helper()
	var body T
	response, err := http.Get("http://" + u.Status().String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusInternalServerError {
		if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode, body
}

func TestStatusReportsStateAndOverrides(t *testing.T) {
	u := newUpstream(t)
	if code, h := get[upstream.Health](t, u, "/health"); code != 200 || !h.Ready || h.Draining || time.Since(h.Started) < time.Minute {
		t.Errorf("warm upstream: status %d, health %+v", code, h)
	}
	u.Restart()
	u.Drain()
	if _, h := get[upstream.Health](t, u, "/health"); !h.Draining || time.Since(h.Started) > time.Minute {
		t.Errorf("upstream that restarted and drains: health %+v", h)
	}
	u.SetShedding(true)
	code, load := get[upstream.Load](t, u, "/load")
	if diff := cmp.Diff(upstream.Load{Slots: 2, Shedding: true}, load); diff != "" || code != 200 {
		t.Errorf("status %d, load (-want +got): %s", code, diff)
	}
	u.OverrideStatus(&upstream.Health{}, &upstream.Load{Open: 9})
	if code, _ := get[upstream.Health](t, u, "/health"); code != http.StatusServiceUnavailable {
		t.Errorf("health endpoint of an unready upstream: status %d, want 503", code)
	}
	if _, load := get[upstream.Load](t, u, "/load"); load.Open != 9 {
		t.Errorf("overridden load was not reported: %+v", load)
	}
	u.FailStatus(true)
	if code, _ := get[upstream.Load](t, u, "/load"); code != http.StatusInternalServerError {
		t.Errorf("failing status endpoint: status %d, want 500", code)
	}
}

func TestStatusLagReportsPastState(t *testing.T) {
	u := newUpstream(t)
	u.SetStatusLag(20 * time.Second)
	// The first record must precede the change, so that the lagging endpoint
	// reports the state from before it.
	for recorded := false; !recorded; time.Sleep(time.Millisecond) {
		recorded = u.HistoryLength() > 0
	}
	u.SetShedding(true)
	if _, load := get[upstream.Load](t, u, "/load"); load.Shedding {
		t.Error("a lagging endpoint reported the current state")
	}
	u.SetStatusLag(0)
	if _, load := get[upstream.Load](t, u, "/load"); !load.Shedding {
		t.Error("an endpoint without lag reported a past state")
	}
}
