package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// result is the outcome of running a command line.
type result struct {
	code     int
	out, err string
}

func execute(t *testing.T, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	code := run(t.Context(), "1.2.3", args, output{out: &out, err: &errs})
	return result{code: code, out: out.String(), err: errs.String()}
}

func TestExitCodes(t *testing.T) {
	const validFlow = "203.0.113.9:40001,192.0.2.10:7001"
	for _, c := range []struct {
		args string
		want int
	}{
		{"version", exitOK},
		{"help", exitOK},
		{"help check", exitOK},
		{"--help", exitOK},
		{"dump --help", exitOK},
		{"check testdata/inventory.yaml testdata/next.yaml", exitOK},
		{"check testdata/broken.yaml", exitFailed},
		{"check testdata/inventory.yaml testdata/absent.yaml", exitFailed},
		{"check testdata/unknown.yaml", exitFailed},
		{"serve --settings testdata/absent.yaml", exitFailed},
		{"serve --settings testdata/moves.yaml", exitFailed},
		{"dump --address 127.0.0.1:1", exitFailed},
		{"explain --address 127.0.0.1:1 --flow " + validFlow, exitFailed},
		{"", exitUsage},
		{"launch", exitUsage},
		{"--verbose version", exitUsage},
		{"version now", exitUsage},
		{"version --long", exitUsage},
		{"check", exitUsage},
		{"check --fix testdata/next.yaml", exitUsage},
		{"serve", exitUsage},
		{"serve testdata/settings.yaml", exitUsage},
		{"serve --settings testdata/settings.yaml now", exitUsage},
		{"dump", exitUsage},
		{"dump --address localhost:7401", exitUsage},
		{"dump --address 127.0.0.1:1 now", exitUsage},
		{"explain --address 127.0.0.1:1", exitUsage},
		{"explain --flow " + validFlow, exitUsage},
		{"explain --address 127.0.0.1:1 --flow 203.0.113.9:40001", exitUsage},
		{"explain --address 127.0.0.1:1 --flow " + validFlow + ",192.0.2.10:7001", exitUsage},
		{"explain --address 127.0.0.1:1 --protocol icmp --flow " + validFlow, exitUsage},
	} {
		got := execute(t, strings.Fields(c.args)...)
		if got.code != c.want {
			t.Errorf("%q exits with %d, want %d\n%s%s", c.args, got.code, c.want, got.out, got.err)
		}
		if c.want != exitOK && got.out == "" && got.err == "" {
			t.Errorf("%q fails without any output", c.args)
		}
	}
}

func TestHelpShowsExamplesAndExitCodes(t *testing.T) {
	for _, c := range commands("", output{}) {
		got := execute(t, "help", c.Name())
		if !strings.Contains(got.out, "Example") || !strings.Contains(got.out, "chervilhaven "+c.Name()) {
			t.Errorf("help for %s has no example:\n%s", c.Name(), got.out)
		}
	}
}

func TestCheckReportsAllFiles(t *testing.T) {
	for name, files := range map[string][]string{
		"check":                 {"declarations", "inventory", "moves", "settings", "unknown", "broken"},
		"check-two-inventories": {"declarations", "inventory", "next", "moves", "settings"},
		"check-alone":           {"declarations"},
	} {
		args := []string{"check"}
		for _, f := range files {
			args = append(args, "testdata/"+f+".yaml")
		}
		goldie.New(t).Assert(t, name, []byte(execute(t, args...).out))
	}
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	const examples = "../../examples/"
	for _, pattern := range []string{"ocre/*.yaml", "vatulele/*.yaml", "handover/*.yaml"} {
		files, err := filepath.Glob(examples + pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("files of %s: %v, %v", pattern, files, err)
		}
		got := execute(t, append([]string{"check"}, files...)...)
		if got.code != exitOK || strings.Count(got.out, ": ok, ") != len(files) {
			t.Errorf("%s exits with %d:\n%s%s", pattern, got.code, got.out, got.err)
		}
	}
	got := execute(t, "check", examples+"ocre/declarations.yaml", examples+"ocre/inventory.yaml", examples+"handover/inventory.yaml")
	if got.code != exitOK {
		t.Errorf("check with two inventories exits with %d:\n%s", got.code, got.out)
	}
}

// fakeInstance is an InspectService that returns fixed responses.
type fakeInstance struct {
	peerv1connect.UnimplementedInspectServiceHandler
	state   ownerrouter.Dump
	explain balancer.Explanation
}

func (f *fakeInstance) Dump(context.Context, *connect.Request[peerv1.DumpRequest]) (*connect.Response[peerv1.DumpResponse], error) {
	b, err := json.Marshal(f.state)
	return connect.NewResponse(&peerv1.DumpResponse{Json: b}), err
}

func (f *fakeInstance) Explain(_ context.Context, r *connect.Request[peerv1.ExplainRequest]) (*connect.Response[peerv1.ExplainResponse], error) {
	sent := r.Msg.GetSource() + "," + r.Msg.GetDestination()
	if sent != f.explain.Flow || r.Msg.GetProtocol() != uint32(flow.ProtocolTCP) {
		return nil, connect.NewError(connect.CodeInvalidArgument, &FlowError{Value: sent})
	}
	b, err := json.Marshal(f.explain)
	return connect.NewResponse(&peerv1.ExplainResponse{Json: b}), err
}

// start starts an HTTP server for the fake and returns its address.
func (f *fakeInstance) start(t *testing.T) string {
	t.Helper()
	_, handler := peerv1connect.NewInspectServiceHandler(f)
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func sampleState() ownerrouter.Dump {
	return ownerrouter.Dump{
		Name: "office-a", DataCentre: "office", Serving: true,
		View: ownerrouter.ViewDump{
			Version: view.Version{Generation: 2, Revision: 17}, Age: "42s", Source: "peer",
			Keys:    []ownerrouter.KeyDump{{Key: "declarations", Version: view.Version{Generation: 2, Revision: 17}, Bytes: 612}},
			Refused: []ownerrouter.RefusedDump{{Key: "moves", Version: view.Version{Generation: 2, Revision: 18}, Cause: "moves:1:1: bad"}},
		},
		Members: member.Dump{Members: []member.PeerDump{
			{Name: "office-b", DataCentre: "office", Status: "alive", Live: true, Listed: true, LastContact: "1s"},
			{Name: "pit-sur-a", DataCentre: "pit-sur", Status: "suspect", Unreachable: true, Leaving: true},
		}},
		Platform: ownerrouter.PlatformDump{Watching: true, Cursor: view.Version{Generation: 2, Revision: 17}, Contact: "3s", By: "office-a"},
		Balancer: &balancer.Dump{
			Flows: 31,
			Upstreams: []balancer.UpstreamDump{
				{
					Name: "lot-ledger-12", Service: "lot-ledger", Phase: "warm", Cause: "none", Limit: 2000, Open: 30,
					Records: 30, Pointers: 2, Busy: 1, Complete: true, OwnedFor: "5m0s",
					Classes: []balancer.ClassDump{
						{Name: "truck-tickets", Open: 10, Allowed: 2000, Met: 99, Missed: 1},
						{Name: "lot-grades", Open: 20, Allowed: 2000, Met: 10},
					},
				},
				{
					Name: "lot-ledger-13", Service: "lot-ledger", Phase: "cold", Cause: "restarted", Limit: 2, Open: 1,
					Held: true, ReleasedTo: "office-b", OwnedFor: "3s",
					Classes: []balancer.ClassDump{{Name: "lot-grades", Open: 1, Allowed: 2, Met: 8, Missed: 2}},
				},
			},
			Handovers: []balancer.HandoverDump{{Upstream: "lot-ledger-13", Left: 4}},
			Counters:  balancer.Counters{Forwarded: 1200, Relayed: 300, Refused: 1, Admitted: 31, Moved: 2},
			Dropped:   map[string]uint64{"no-class": 3, "hops": 0},
		},
	}
}

func TestDump(t *testing.T) {
	address := (&fakeInstance{state: sampleState()}).start(t)
	got := execute(t, "dump", "--address", address)
	if got.code != exitOK {
		t.Fatalf("exits with %d: %s", got.code, got.err)
	}
	goldie.New(t).Assert(t, "dump", []byte(got.out))
	starting := (&fakeInstance{state: ownerrouter.Dump{Name: "office-a", DataCentre: "office"}}).start(t)
	goldie.New(t).Assert(t, "dump-starting", []byte(execute(t, "dump", "--address", starting).out))
}

func TestDumpJSONRoundTrip(t *testing.T) {
	address := (&fakeInstance{state: sampleState()}).start(t)
	var got ownerrouter.Dump
	if err := json.Unmarshal([]byte(execute(t, "dump", "--address", address, "--json").out), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sampleState(), got); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}

func TestExplain(t *testing.T) {
	const callerFlow = "203.0.113.9:40001,192.0.2.10:7002"
	address := (&fakeInstance{explain: balancer.Explanation{
		Flow: callerFlow, Service: "lot-ledger", Class: "truck-tickets",
		Places: []balancer.Position{
			{Upstream: "lot-ledger-03", DataCentre: "pit-norte", Owner: "pit-norte-a", Local: "remote"},
			{Upstream: "lot-ledger-12", DataCentre: "office", Owner: "office-a", Local: "pointer to lot-ledger-03"},
			{Upstream: "lot-ledger-09", DataCentre: "pit-este", Local: "remote", Earlier: true},
		},
		Verdict: "relayed to pit-norte-a, owner of the first choice lot-ledger-03",
	}}).start(t)
	got := execute(t, "explain", "--address", address, "--flow", callerFlow)
	if got.code != exitOK {
		t.Fatalf("exits with %d: %s", got.code, got.err)
	}
	goldie.New(t).Assert(t, "explain", []byte(got.out))
	if other := execute(t, "explain", "--address", address, "--flow", callerFlow, "--protocol", "udp"); other.code != exitFailed {
		t.Errorf("explain exits with %d after the instance rejected the request", other.code)
	}
}
