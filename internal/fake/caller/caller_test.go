package caller_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/fake/caller"
	"github.com/chervilhaven/chervilhaven/internal/fake/fabric"
	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
	"github.com/chervilhaven/chervilhaven/internal/fake/upstream"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

const (
	serviceNumber = 7
	waitLimit     = 30 * time.Second
)

// testPath connects a caller, through a fabric and a forwarder, to a single
// upstream.
type testPath struct {
	caller      *caller.Caller
	fabric      *fabric.Fabric
	upstream    *upstream.Upstream
	upstreamErr chan error
	stop        context.CancelFunc
}

func newPath(t *testing.T, u upstream.Config, class caller.Class, vni uint32) *testPath {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	service := netip.MustParseAddr("203.0.113.1")
	p := &testPath{upstreamErr: make(chan error, 1)}
	var err error
	if p.fabric, err = fabric.New(fabric.Config{Address: loopback, Seed: 1}); err != nil {
		t.Fatal(err)
	}
	counter := &upstream.RunCounter{}
	class.Destination = netip.AddrPortFrom(service, 443)
	p.caller, err = caller.New(caller.Config{
		Address: loopback, Fabric: p.fabric.Address(), Seed: 1, Classes: []caller.Class{class}, RunCount: counter.RunCount,
	})
	if err != nil {
		t.Fatal(err)
	}
	u.Name, u.Service, u.Addresses, u.RunCounter = "u", serviceNumber, []netip.Addr{service}, counter
	u.Packets, u.Status, u.ReturnAddress = loopback, loopback, p.caller.Address()
	if p.upstream, err = upstream.New(u); err != nil {
		t.Fatal(err)
	}
	forwarder := listen(t)
	p.fabric.SetInstances([]fabric.Instance{{Address: netip.MustParseAddrPort(forwarder.LocalAddr().String())}})
	ctx, stop := context.WithCancel(t.Context())
	p.stop = stop
	t.Cleanup(stop)
	go forward(forwarder, p.upstream.Packets(), vni)
	go func() { _ = p.fabric.Run(ctx) }()
	go func() { _ = p.caller.Run(ctx) }()
	go func() { p.upstreamErr <- p.upstream.Run(ctx) }()
	return p
}

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func forward(conn *net.UDPConn, to netip.AddrPort, vni uint32) {
	buffer := make([]byte, 2048)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_, s, err := segment.Decode(buffer[:n])
		if err != nil {
			continue
		}
		datagram, err := s.Encode(vni)
		if err != nil {
			return
		}
		_, _ = conn.WriteToUDPAddrPort(datagram, to)
	}
}

// run opens flows until the given number was reached and waits until all have
// ended.
func (p *testPath) run(t *testing.T, opened int) caller.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	p.caller.Start()
	for p.caller.Result().Opened < opened && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	p.caller.Stop()
	p.caller.WaitForFlows(ctx)
	return p.caller.Result()
}

var warm = upstream.Config{Slots: 50, Connections: 2000, Warm: true}

var short = caller.Class{
	Name: "short", Rate: 400, Requests: 2, Work: time.Millisecond, Size: 3000,
	Target: declaration.Target{Once: true, Share: 0.9},
}

func TestFlowsFinishOverFaultyFabric(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults fabric.Faults
	}{
		{"no faults", fabric.Faults{}},
		{"all faults", fabric.Faults{Loss: 0.02, Duplicate: 0.05, Delay: 0.1, MaxDelay: 30 * time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPath(t, warm, short, serviceNumber)
			p.fabric.SetFaults(test.faults)
			r := p.run(t, 200)
			type outcome struct{ Broken, Refused, Unopened, CrossedSegments, DamagedResponses, UntrueRefusals, Duplicated, OverLimit int }
			u := p.upstream.Counts()
			got := outcome{r.Broken, r.Refused, r.Unopened, r.CrossedSegments, r.DamagedResponses, r.UntrueRefusals, u.Duplicated, u.OverLimit}
			if diff := cmp.Diff(outcome{}, got); diff != "" {
				t.Error(diff)
			}
			if r.Finished != r.Opened || r.Opened < 200 || r.Classes[0].MetTarget != 2*r.Opened {
				t.Errorf("not all flows finished within the target: %+v", r)
			}
			if u.Requests != r.Classes[0].Requests {
				t.Errorf("upstream ran %d requests, want %d", u.Requests, r.Classes[0].Requests)
			}
		})
	}
}

func TestColdUpstreamCountsOverLimit(t *testing.T) {
	long := short
	long.Pause = 200 * time.Millisecond
	p := newPath(t, upstream.Config{Slots: 2, Connections: 2000, WarmupInterval: time.Hour}, long, serviceNumber)
	r := p.run(t, 50)
	if u := p.upstream.Counts(); u.OverLimit == 0 || u.PeakOpen <= 2 {
		t.Errorf("flows above the limit of a cold upstream were not counted: %+v", u)
	}
	if r.Finished != r.Opened {
		t.Errorf("not all flows of an overloaded upstream finished: %+v", r)
	}
}

func TestShedFlowsAreRetriedAndNeverRun(t *testing.T) {
	p := newPath(t, warm, short, serviceNumber)
	p.upstream.SetShedding(true)
	p.caller.Start()
	for p.caller.Result().Refused == 0 {
		time.Sleep(time.Millisecond)
	}
	p.upstream.SetShedding(false)
	r := p.run(t, 100)
	if r.UntrueRefusals != 0 || r.Retried == 0 || r.Finished+r.Refused != r.Opened || r.Abandoned != 0 {
		t.Errorf("refused flows were run, not retried or abandoned: %+v", r)
	}
}

func TestUpstreamReportsMisroutedPackets(t *testing.T) {
	class := short
	class.Timeout = 50 * time.Millisecond
	p := newPath(t, warm, class, serviceNumber+1)
	r := p.run(t, 10)
	if r.Unopened != r.Opened || r.Established != 0 {
		t.Errorf("an upstream accepted flows with the VNI of another service: %+v", r)
	}
	p.stop()
	var misrouted *upstream.MisroutedError
	if err := <-p.upstreamErr; !errors.As(err, &misrouted) {
		t.Errorf("Run returned %v, want a MisroutedError", err)
	}
}

func TestDeadUpstreamBreaksFlows(t *testing.T) {
	class := short
	class.Pause, class.Timeout = 100*time.Millisecond, 300*time.Millisecond
	p := newPath(t, warm, class, serviceNumber)
	p.caller.Start()
	for p.caller.Result().Established < 20 {
		time.Sleep(time.Millisecond)
	}
	if err := p.upstream.Close(); err != nil {
		t.Fatal(err)
	}
	r := p.run(t, 30)
	if r.Broken == 0 || r.Opened != r.Finished+r.Broken+r.Unopened {
		t.Errorf("flows of a closed upstream were not counted as broken: %+v", r)
	}
}
