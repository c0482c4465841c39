package ownerserver

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"golang.org/x/net/ipv4"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
)

const (
	// benchmarkWindow limits the packets in flight to what the kernel's buffers
	// hold, so that none are lost.
	benchmarkWindow  = 16 * batchSize
	benchmarkPayload = 64
	benchmarkFlows   = 16
)

// forwardBatches forwards batches of datagrams without any processing.
func forwardBatches(from *endpoint, to netip.AddrPort) {
	c := ipv4.NewPacketConn(from.conn)
	in, out := make([]ipv4.Message, batchSize), make([]ipv4.Message, batchSize)
	o := &output{}
	o.setDestination(to, 1)
	for n := range in {
		in[n].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
		out[n].Buffers = [][]byte{nil}
		out[n].Addr = &o.address
	}
	for {
		n, err := c.ReadBatch(in, 0)
		if err != nil {
			return
		}
		for k := range n {
			out[k].Buffers[0] = in[k].Buffers[0][:in[k].N]
		}
		for rest := out[:n]; len(rest) > 0; {
			sent, err := c.WriteBatch(rest, 0)
			if err != nil {
				return
			}
			rest = rest[sent:]
		}
	}
}

// measureForward sends b.N packets from all fabric addresses to the forwarder
// and waits until the upstream has received all of them. Several senders are
// needed, because one is slower than a forwarder.
func measureForward(b *testing.B, fabric []*endpoint, upstream *endpoint, forwarder netip.AddrPort, datagrams [][]byte) {
	var sent, received atomic.Int64
	_ = upstream.conn.SetReadDeadline(time.Now().Add(time.Minute))
	b.ResetTimer()
	for _, f := range fabric {
		go sendWindow(f, forwarder, datagrams, &sent, &received, int64(b.N))
	}
	in := make([]ipv4.Message, batchSize)
	for n := range in {
		in[n].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
	}
	for c := ipv4.NewPacketConn(upstream.conn); received.Load() < int64(b.N); {
		n, err := c.ReadBatch(in, 0)
		if err != nil {
			b.Fatalf("%d of %d packets arrived", received.Load(), b.N)
		}
		received.Add(int64(n))
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}

// sendWindow sends until all senders together have sent total packets, with at
// most benchmarkWindow packets in flight.
func sendWindow(from *endpoint, to netip.AddrPort, datagrams [][]byte, sent, received *atomic.Int64, total int64) {
	o := &output{}
	o.setDestination(to, 1)
	messages := make([]ipv4.Message, batchSize)
	for n := range messages {
		messages[n] = ipv4.Message{Buffers: [][]byte{datagrams[n%len(datagrams)]}, Addr: &o.address}
	}
	c := ipv4.NewPacketConn(from.conn)
	for {
		if sent.Load()-received.Load() > benchmarkWindow {
			runtime.Gosched()
			continue
		}
		// Round up to whole batches, so that no sender waits for another one.
		if sent.Add(batchSize) > total+batchSize {
			return
		}
		for rest := messages; len(rest) > 0; {
			n, err := c.WriteBatch(rest, 0)
			if err != nil {
				return
			}
			rest = rest[n:]
		}
	}
}

// benchmarkDatagrams returns fabric datagrams of several flows. Their ports are
// changed in place without updating the checksums, which nothing on the path
// verifies.
func benchmarkDatagrams(b *testing.B, tcp layers.TCP, payload int) [][]byte {
	var list [][]byte
	for n := range benchmarkFlows {
		d := encapsulate(b, 0, callerPacket(b, tcp, string(make([]byte, payload))))
		binary.BigEndian.PutUint16(d[8+20:], uint16(40000+n))
		list = append(list, d)
	}
	return list
}

func newFabric(b *testing.B) []*endpoint {
	return []*endpoint{newEndpoint(b), newEndpoint(b)}
}

func benchmarkSettings(fabric []*endpoint) Settings {
	s := testSettings("north-1", fabric[0].address())
	s.Fabric = append(s.Fabric, fabric[1].address())
	return s
}

// BenchmarkForwardDirect sends directly to the upstream. It shows that the
// other benchmarks are not limited by senders and receiver.
func BenchmarkForwardDirect(b *testing.B) {
	fabric, upstream := newFabric(b), newEndpoint(b)
	measureForward(b, fabric, upstream, upstream.address(), benchmarkDatagrams(b, layers.TCP{ACK: true}, benchmarkPayload))
}

// BenchmarkForwardCopy measures a forwarder that only copies datagrams.
func BenchmarkForwardCopy(b *testing.B) {
	fabric, upstream, forwarder := newFabric(b), newEndpoint(b), newEndpoint(b)
	go forwardBatches(forwarder, upstream.address())
	measureForward(b, fabric, upstream, forwarder.address(), benchmarkDatagrams(b, layers.TCP{ACK: true}, benchmarkPayload))
}

// BenchmarkForwardRuntime measures the runtime with a fake router that makes a
// fixed decision.
func BenchmarkForwardRuntime(b *testing.B) {
	fabric, upstream := newFabric(b), newEndpoint(b)
	f := newFakeRouter(nil)
	f.events = nil
	effects := balancerEffect(balancer.Effect{Kind: balancer.Forward, Service: 77, Address: upstream.address()})
	f.respond = func(e ownerrouter.Event) []ownerrouter.Effect {
		if _, ok := e.(*balancer.FabricPacket); ok {
			return effects
		}
		return nil
	}
	server := run(b, benchmarkSettings(fabric), f)
	measureForward(b, fabric, upstream, server.PacketsAddress(), benchmarkDatagrams(b, layers.TCP{ACK: true}, benchmarkPayload))
}

// BenchmarkForwardInstance forwards packets of established flows with a real
// router.
func BenchmarkForwardInstance(b *testing.B) {
	fabric, upstream := newFabric(b), newEndpoint(b)
	platform := &testPlatform{}
	s := benchmarkSettings(fabric)
	s.Platform = []netip.AddrPort{serveHTTP(b, platform)}
	server := run(b, s, nil)
	publish(platform, upstream.address(), serveHTTP(b, readyUpstream()), 2000, server)
	for n, opening := range benchmarkDatagrams(b, layers.TCP{SYN: true}, 0) {
		openFlow(b, fabric[0], upstream, server, opening, n)
	}
	measureForward(b, fabric, upstream, server.PacketsAddress(), benchmarkDatagrams(b, layers.TCP{ACK: true}, benchmarkPayload))
}

// openFlow repeats an opening packet until the upstream receives it. The
// upstream does not respond; the caller's acknowledgement, sent the same way,
// establishes the flow.
func openFlow(b testing.TB, fabric, upstream *endpoint, server *Server, opening []byte, portOffset int) {
	b.Helper()
	buffer := make([]byte, maxDatagramBytes)
	established := encapsulate(b, 0, callerPacket(b, layers.TCP{ACK: true, Seq: 1, Ack: 1}, ""))
	binary.BigEndian.PutUint16(established[8+20:], uint16(40000+portOffset))
	for _, datagram := range [][]byte{opening, established} {
		for try := 0; ; try++ {
			fabric.send(server.PacketsAddress(), datagram)
			_ = upstream.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := upstream.conn.Read(buffer); err == nil {
				break
			}
			if try > 200 {
				b.Fatal("no packet of the flow reached the upstream in 200 attempts")
			}
		}
	}
}
