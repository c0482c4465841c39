package deployment_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/fake/caller"
	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
	"github.com/chervilhaven/chervilhaven/internal/fake/fault"
	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const waitLimit = 30 * time.Second

func newDeployment(t *testing.T, links bool) *deployment.Deployment {
	t.Helper()
	placeholder := netip.MustParseAddrPort("10.0.0.1:1")
	i := inventory.Inventory{Services: []inventory.Service{
		{Name: "desk", Number: 1, Addresses: []netip.Addr{netip.MustParseAddr("192.0.2.10")}},
	}}
	for _, name := range []string{"north", "south"} {
		i.DataCentres = append(i.DataCentres, inventory.DataCentre{
			Name: name, Region: "r",
			Instances: []inventory.Instance{{Name: "instance-" + name, Packets: placeholder, Peers: placeholder}},
			Upstreams: []inventory.Upstream{{
				Name: "desk-" + name, Service: "desk", Packets: placeholder, Status: placeholder, Slots: 4, Connections: 100,
			}},
		})
	}
	s, err := deployment.New(deployment.Config{
		Inventory: i, Seed: 1, ProxyLinks: links,
		Declarations: declaration.Declarations{Classes: []declaration.Class{
			{Name: "query", Service: "desk", Port: 443, Target: declaration.Target{AnswerWithin: time.Second, Share: 0.9}},
		}},
		Flows: []caller.Class{{Name: "query", Rate: 300, Requests: 3, Pause: 10 * time.Millisecond, Work: time.Millisecond, Size: 100, Timeout: 2 * time.Second}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Run(t.Context())
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// forward simulates a stateless instance that maps each source address to a
// fixed upstream.
func forward(t *testing.T, s *deployment.Deployment, at netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			_, packet, _ := segment.Decode(buffer[:n])
			datagram, _ := packet.Encode(1)
			upstream := s.Endpoints[int(packet.Source.Addr().As4()[3])%len(s.Endpoints)]
			_, _ = conn.WriteToUDPAddrPort(datagram, upstream.Packets())
		}
	}()
}

func TestFlowsThroughStatelessInstances(t *testing.T) {
	s := newDeployment(t, false)
	for _, a := range s.Instances() {
		forward(t, s, a.Packets)
		s.AddToFabric(a)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	s.Caller.Start()
	opened := func(n int) {
		for s.Caller.Result().Opened < n && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	opened(200)
	if err := s.Drain("desk-south"); err != nil {
		t.Fatal(err)
	}
	if err := s.TakeOut("north"); err != nil {
		t.Fatal(err)
	}
	if err := s.Endpoints[0].Close(); err != nil {
		t.Fatal(err)
	}
	opened(300)
	s.Caller.Stop()
	s.Caller.WaitForFlows(ctx)
	r := s.Result()
	// Flows to the upstream that was closed, in the data centre taken out of
	// service, count as given up, not as broken.
	if r.Caller.Broken != 0 || r.Caller.GivenUp == 0 || r.Caller.Finished == 0 {
		t.Errorf("outcome of the flows: %+v; want none broken, some given up and some finished", r.Caller)
	}
	if r.Upstreams.Misrouted != 0 || r.Upstreams.OverLimit != 0 || r.Imbalance < 1 || r.Open != 0 {
		t.Errorf("result: %+v; want no misrouted packets, no flows over the limit, an imbalance of at least 1 and no open flows", r)
	}
	if version := s.Platform.Version().String(); version != "1.9" {
		t.Errorf("platform version %s after the changes, want 1.9", version)
	}
	var unknown *deployment.UnknownError
	if err := s.Drain("nobody"); err == nil || !cmp.Equal(err.Error(), (&deployment.UnknownError{Kind: "upstream", Name: "nobody"}).Error()) {
		t.Errorf("got %v, want %T", err, unknown)
	}
}

func TestPlatformLinkFaults(t *testing.T) {
	s := newDeployment(t, true)
	a := s.Instances()[0]
	if a.Peers == s.Instances()[1].Peers || a.Platform == s.Instances()[1].Platform {
		t.Error("two data centres share a link")
	}
	read := func() error {
		response, err := http.Get("http://" + a.Platform.String() + "/v1/values")
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	if err := read(); err != nil {
		t.Error(err)
	}
	http.DefaultClient.CloseIdleConnections()
	if err := s.SetPlatformFaults(a.DataCentre, fault.Faults{CloseProbability: 1}); err != nil {
		t.Fatal(err)
	}
	if err := read(); err == nil {
		t.Error("a read succeeded over a link with a close probability of 1")
	}
	if err := s.SetPeerFaults("nobody", fault.Faults{}); err == nil {
		t.Error("faults were set on an unknown link")
	}
}
