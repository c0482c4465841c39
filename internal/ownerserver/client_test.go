package ownerserver

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

var testDigest = member.Digest{
	Version: view.Version{Generation: 2, Revision: 9},
	Members: []member.State{{ID: 5, Incarnation: 6, Status: member.Suspect}, {ID: 7, Status: member.Leaving}},
	Keys:    []view.KeyVersion{{Key: view.KeyMoves, Version: view.Version{Generation: 2, Revision: 8}}},
	Introductions: []member.Introduction{{
		Name: "north-9", DataCentre: "north",
		Packets: netip.MustParseAddrPort("192.0.2.9:7400"), Peers: netip.MustParseAddrPort("192.0.2.9:7401"),
	}},
	Platform: member.PlatformContact{By: 5, Age: 3 * time.Second},
}

// onTrigger returns the effects for a ViewConfirmed event, which the tests post
// as a trigger, and none for other events.
func onTrigger(effects ...ownerrouter.Effect) func(ownerrouter.Event) []ownerrouter.Effect {
	return func(e ownerrouter.Event) []ownerrouter.Effect {
		if _, ok := e.(*balancer.ViewConfirmed); ok {
			return effects
		}
		return nil
	}
}

func TestProbeExchangesDigests(t *testing.T) {
	start := time.Now()
	key := testKey(1)
	fb := newFakeRouter(func(e ownerrouter.Event) []ownerrouter.Effect {
		if _, ok := e.(*ownerrouter.ProbeReceived); !ok {
			return nil
		}
		return []ownerrouter.Effect{{Kind: ownerrouter.ProbeReply, Digest: testDigest}}
	})
	b := run(t, testSettings("b", loopback, key), fb)
	fa := newFakeRouter(nil)
	fa.respond = onTrigger(ownerrouter.Effect{Kind: ownerrouter.Probe, Peer: b.id, Address: b.PeersAddress(), Digest: testDigest})
	a := run(t, testSettings("a", loopback, key), fa)
	a.post(&balancer.ViewConfirmed{})
	reply := expect[ownerrouter.ProbeAcknowledged](t, fa)
	checkRequestTime(t, start, &reply.SentAt)
	if diff := cmp.Diff(&ownerrouter.ProbeAcknowledged{From: b.id, Digest: testDigest}, reply, compareAddresses); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(&ownerrouter.ProbeReceived{From: a.id, Digest: testDigest}, expect[ownerrouter.ProbeReceived](t, fb), compareAddresses); diff != "" {
		t.Error(diff)
	}
	if a.metrics.controlSent.Get() == 0 || a.metrics.controlReceived.Get() == 0 {
		t.Error("control traffic was not counted")
	}
}

func TestFailedRequestsAreReported(t *testing.T) {
	dead := netip.MustParseAddrPort("127.0.0.1:1")
	f := newFakeRouter(nil)
	f.respond = onTrigger(
		ownerrouter.Effect{Kind: ownerrouter.Probe, Peer: 4, Address: dead},
		ownerrouter.Effect{Kind: ownerrouter.IndirectProbe, Peer: 4, Address: dead, Target: 5},
		ownerrouter.Effect{Kind: ownerrouter.Fetch, Peer: 4, Address: dead},
		ownerrouter.Effect{Kind: ownerrouter.ReadPlatform},
	)
	server := run(t, testSettings("a", loopback), f)
	server.post(&balancer.ViewConfirmed{})
	want := map[string]bool{"probe": true, "probe-for": true, "fetch": true, "platform": true}
	got := map[string]bool{}
	deadline := time.After(waitTimeout)
	for len(got) < len(want) {
		select {
		case event := <-f.events:
			switch e := event.(type) {
			case *ownerrouter.ProbeFailed:
				got["probe"] = e.Target == 4 && e.Refused
			case *ownerrouter.IndirectProbeResult:
				got["probe-for"] = e.Target == 5 && !e.Reachable
			case *ownerrouter.FetchFailed:
				got["fetch"] = e.Peer == 4 && e.Err != nil
			case *ownerrouter.PlatformReadFailed:
				got["platform"] = e.Err != nil
			}
		case <-deadline:
			t.Fatalf("timed out with only these failures reported: %v", got)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// checkRequestTime fails the test unless at lies between start and now. It
// resets at, so that the rest of the event can be compared.
func checkRequestTime(t *testing.T, start time.Time, at *time.Time) {
	t.Helper()
	if at.Before(start) || at.After(time.Now()) {
		t.Errorf("request time is %s, want between %s and now", at, start)
	}
	*at = time.Time{}
}

func TestHandoverArrivesCompleteAndInOrder(t *testing.T) {
	want := balancer.Handover{
		Upstream: 3, Open: 40, Limit: 2000, Complete: true,
		Records:  []flow.ID{{High: 1, Low: 2}},
		Pointers: []balancer.Pointer{{Flow: flow.ID{High: 3, Low: 4}, To: 9}},
	}
	last := balancer.Handover{Upstream: 3, Last: true}
	fb := newFakeRouter(nil)
	b := run(t, testSettings("b", loopback), fb)
	fa := newFakeRouter(nil)
	fa.setView(viewOf(b))
	var effects []ownerrouter.Effect
	for range 20 {
		effects = append(effects, balancerEffect(balancer.Effect{Kind: balancer.SendHandover, Peer: b.id, Handover: &want})...)
	}
	effects = append(effects, balancerEffect(balancer.Effect{Kind: balancer.SendHandover, Peer: b.id, Handover: &last})...)
	effects = append(effects, balancerEffect(balancer.Effect{Kind: balancer.RequestRelease, Peer: b.id, Upstreams: []view.ID{8, 9}})...)
	fa.respond = onTrigger(effects...)
	a := run(t, testSettings("a", loopback), fa)
	fb.setView(viewOf(a))
	a.post(&balancer.ViewConfirmed{})
	for range 20 {
		got := expect[balancer.HandoverReceived](t, fb)
		if diff := cmp.Diff(&balancer.HandoverReceived{From: a.id, Handover: want}, got); diff != "" {
			t.Fatal(diff)
		}
	}
	if got := expect[balancer.HandoverReceived](t, fb); !got.Handover.Last {
		t.Errorf("last part of the handover arrived out of order: %+v", got)
	}
	if diff := cmp.Diff(&balancer.ReleaseRequested{From: a.id, Upstreams: []view.ID{8, 9}}, expect[balancer.ReleaseRequested](t, fb)); diff != "" {
		t.Error(diff)
	}
}

func TestHandoverFromUnknownInstanceIsRejected(t *testing.T) {
	f := newFakeRouter(nil)
	server := run(t, testSettings("b", loopback), f)
	clients := newPeerClientPool(1, nil, newCounters())
	ctx := context.Background()
	_, err := clients.clientFor(server.PeersAddress()).Handover(ctx, connect.NewRequest(&peerv1.HandoverRequest{From: 1, Upstream: 3, Last: true}))
	if err == nil || len(f.events) != 0 || server.metrics.unauthenticated.Get() != 1 {
		t.Errorf("got error %v, %d events, %d rejections counted; want an error, 0 and 1", err, len(f.events), server.metrics.unauthenticated.Get())
	}
}

func TestStopWaitsForPendingHandover(t *testing.T) {
	fb := newFakeRouter(nil)
	b := run(t, testSettings("b", loopback), fb)
	fa := newFakeRouter(nil)
	fa.stopEffects = balancerEffect(balancer.Effect{Kind: balancer.SendHandover, Peer: b.id, Handover: &balancer.Handover{Upstream: 3, Last: true}})
	fa.setView(viewOf(b))
	a, err := newServer(Config{Settings: testSettings("a", loopback)}, fa)
	if err != nil {
		t.Fatal(err)
	}
	fb.setView(viewOf(a))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := a.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := expect[balancer.HandoverReceived](t, fb); !got.Handover.Last {
		t.Errorf("got %+v, want the last part of the handover", got)
	}
}

func TestFetchReturnsValuesAndDeletions(t *testing.T) {
	start := time.Now()
	version := view.Version{Generation: 1, Revision: 4}
	values := []view.Value{
		{Key: view.KeyMoves, Version: version, Content: []byte("out: []\n")},
		{Key: view.KeyServices, Version: version, Deleted: true},
	}
	fb := newFakeRouter(nil)
	fb.newer = values
	b := run(t, testSettings("b", loopback), fb)
	fa := newFakeRouter(nil)
	fa.respond = onTrigger(ownerrouter.Effect{Kind: ownerrouter.Fetch, Peer: b.id, Address: b.PeersAddress()})
	run(t, testSettings("a", loopback), fa).post(&balancer.ViewConfirmed{})
	want := &ownerrouter.ValuesReceived{Source: ownerrouter.FromPeer, From: b.id, Values: values}
	received := expect[ownerrouter.ValuesReceived](t, fa)
	checkRequestTime(t, start, &received.RequestedAt)
	if diff := cmp.Diff(want, received); diff != "" {
		t.Error(diff)
	}
}

func TestFetchResponseIsLimited(t *testing.T) {
	values := make([]view.Value, 10)
	for n := range values {
		values[n] = view.Value{Key: strings.Repeat("k", n+1), Content: make([]byte, view.MaxValueBytes)}
	}
	sent := valuesToProto(values, maxFetchBytes)
	if diff := cmp.Diff(3, len(sent)); diff != "" {
		t.Error(diff)
	}
	if len(valuesToProto(values[:1], 10)) != 1 {
		t.Error("a value larger than the limit is never sent")
	}
}

func TestPlatformReadFailsOverToNextAddress(t *testing.T) {
	start := time.Now()
	platform := &testPlatform{}
	platform.put(view.KeyMoves, "out: []\n")
	broken := serveHTTP(t, http.NotFoundHandler())
	queries := make(chan string, 4)
	good := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		platform.ServeHTTP(w, r)
	}))
	f := newFakeRouter(nil)
	f.respond = onTrigger(ownerrouter.Effect{Kind: ownerrouter.ReadPlatform, Since: view.Version{Generation: 1}, Wait: time.Second})
	s := testSettings("a", loopback)
	s.Platform = []netip.AddrPort{broken, good}
	run(t, s, f).post(&balancer.ViewConfirmed{})
	want := &ownerrouter.ValuesReceived{Source: ownerrouter.FromPlatform, Values: []view.Value{
		{Key: view.KeyMoves, Version: view.Version{Generation: 1, Revision: 1}, Content: []byte("out: []\n")},
	}}
	received := expect[ownerrouter.ValuesReceived](t, f)
	checkRequestTime(t, start, &received.RequestedAt)
	if diff := cmp.Diff(want, received); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff("generation=1&revision=0&wait=1s", <-queries); diff != "" {
		t.Error(diff)
	}
}

func TestUpstreamStatusIsReported(t *testing.T) {
	started := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	draining := http.NewServeMux()
	draining.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(healthResponse{Draining: true, Started: started})
	})
	draining.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(loadResponse{Open: 3, Busy: 1, Slots: 2, Shedding: true})
	})
	oversized := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat(" ", maxStatusBytes+1))
	})
	for _, tt := range []struct {
		name    string
		handler http.Handler
		want    balancer.StatusReported
		fails   bool
	}{
		{"draining", draining, balancer.StatusReported{Draining: true, Started: started, Open: 3, Busy: 1, Shedding: true}, false},
		{"oversized response", oversized, balancer.StatusReported{}, true},
		{"missing endpoint", http.NotFoundHandler(), balancer.StatusReported{}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			upstream := inventory.Upstream{Name: "ledger-1", Service: "lot-ledger", Status: serveHTTP(t, tt.handler)}
			f := newFakeRouter(nil)
			f.setView(view.Compile(view.Sources{
				Services:    []inventory.Service{{Name: "lot-ledger", Number: 77}},
				DataCentres: []inventory.DataCentre{{Name: "north", Upstreams: []inventory.Upstream{upstream}}},
			}))
			tt.want.Upstream = view.IDFromName("ledger-1")
			f.respond = onTrigger(balancerEffect(balancer.Effect{Kind: balancer.PollStatus, Upstream: tt.want.Upstream})...)
			run(t, testSettings("a", loopback), f).post(&balancer.ViewConfirmed{})
			got := expect[balancer.StatusReported](t, f)
			if (got.Err != nil) != tt.fails {
				t.Errorf("got error %v", got.Err)
			}
			got.Err = nil
			if diff := cmp.Diff(&tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestInspectServerReturnsStateAndMetrics(t *testing.T) {
	server := run(t, testSettings("a", loopback), newFakeRouter(nil))
	base := "http://" + server.InspectAddress().String()
	client := peerv1connect.NewInspectServiceClient(http.DefaultClient, base)
	ctx := context.Background()
	state, err := client.Dump(ctx, connect.NewRequest(&peerv1.DumpRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(`{"instance-name":"fake"}`, string(state.Msg.GetJson())); diff != "" {
		t.Error(diff)
	}
	request := &peerv1.ExplainRequest{Source: "198.51.100.7:1", Destination: "203.0.113.1:2", Protocol: 6}
	explained, err := client.Explain(ctx, connect.NewRequest(request))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(`{"source":"198.51.100.7:1"}`, string(explained.Msg.GetJson())); diff != "" {
		t.Error(diff)
	}
	for _, bad := range []*peerv1.ExplainRequest{
		{Destination: "203.0.113.1:2", Protocol: 6},
		{Source: "198.51.100.7:1", Protocol: 6},
		{Source: "198.51.100.7:1", Destination: "203.0.113.1:2", Protocol: 1},
	} {
		if _, err := client.Explain(ctx, connect.NewRequest(bad)); connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Errorf("request %v: got error %v, want code invalid_argument", bad, err)
		}
	}
	response, err := http.Get(base + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{`chervilhaven_packets_dropped_total{reason="forged"} 0`, "process_resident_memory_bytes"} {
		if !strings.Contains(string(text), name) {
			t.Errorf("metrics do not contain %s", name)
		}
	}
}

func TestCompressedPlatformResponsesAreRead(t *testing.T) {
	values := make([]platformValue, 200)
	for n := range values {
		values[n] = platformValue{Key: view.KeyMoves, Version: view.Version{Revision: uint64(n)}, Content: "out: []\n"}
	}
	platform := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if diff := cmp.Diff("gzip", r.Header.Get("Accept-Encoding")); diff != "" {
			t.Error(diff)
		}
		w.Header().Set("Content-Encoding", "gzip")
		zipped := gzip.NewWriter(w)
		_ = json.NewEncoder(zipped).Encode(platformResponse{Values: values})
		_ = zipped.Close()
	}))
	var response platformResponse
	address := platformURL(platform, view.Version{}, 0)
	if _, err := getJSON(t.Context(), newHTTPClient(), address, maxPlatformBytes, &response); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(values, response.Values); diff != "" {
		t.Error(diff)
	}
	// The limit applies to the decompressed size, not to the size on the wire.
	if _, err := getJSON(t.Context(), newHTTPClient(), address, 1024, &response); err == nil {
		t.Error("a response that exceeds the limit after decompression was accepted")
	}
}
