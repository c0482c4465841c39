package tokenserver

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chervilhaven/chervilhaven/internal/peer/edgev1"
	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
	"github.com/chervilhaven/chervilhaven/internal/work"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// panicByte is a datagram on which panickingCodec panics.
const panicByte = 77

// panickingCodec is a byteCodec with a fault.
type panickingCodec struct{ byteCodec }

func (c panickingCodec) Decode(b []byte, p *tokenrouter.Packet) error {
	if len(b) > 0 && b[0] == panicByte {
		panic("a fault of the codec")
	}
	return c.byteCodec.Decode(b, p)
}

// A packet that causes a panic is logged and counted; the next one is served.
func TestPanicOfOnePacketDoesNotEndProcess(t *testing.T) {
	upstream, address := listenUDP(t)
	s := startServer(t, address)
	s.mu.Lock()
	s.config.PacketCodec = panickingCodec{}
	s.mu.Unlock()
	var p tokenrouter.Packet
	s.handlePacket([]byte{panicByte}, &p)
	s.handlePacket([]byte{byte(flow.RoleOpen)}, &p)
	if err := upstream.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := upstream.ReadFromUDPAddrPort(make([]byte, 10)); err != nil {
		t.Errorf("no packet after the panic: %v", err)
	}
	if n := s.metrics.panics.Get(); n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
}

// A datagram of another program that happens to be well-formed makes no peer.
func TestMessageWithoutDataCentreIsMalformed(t *testing.T) {
	_, address := listenUDP(t)
	s := startServer(t, address)
	var message edgev1.Message
	s.handleMessage(nil, netip.MustParseAddrPort("127.0.0.9:9"), &message)
	if n := s.metrics.malformedDatagrams.Get(); n != 1 {
		t.Errorf("%d malformed datagrams counted, want 1", n)
	}
}

// Whatever a datagram between instances contains, the state machine takes it
// without a panic.
func FuzzMessage(f *testing.F) {
	b := fullBatch()
	for _, m := range []*tokenrouter.Message{
		{DataCentre: "a", Hello: true, News: &b},
		{DataCentre: "b", Asks: []tokenrouter.Ask{{Service: "desk", Group: 1 << 20}}, Grants: []tokenrouter.Grant{{Upstream: 1}}},
		{DataCentre: "a", Reports: []tokenrouter.Report{{Upstream: 1, Finished: []uint64{2}, Taken: []tokenrouter.Taken{{Flow: 3}}, Silent: 9}}},
		{DataCentre: "a", Work: []work.Total{{Upstream: 1, Open: 1 << 40, UnderWay: 1 << 40, Ended: 1 << 60, Took: 1 << 62, Busy: 1 << 62}}},
		{DataCentre: "a", Reports: []tokenrouter.Report{{Upstream: 1, Idle: []tokenrouter.Taken{{Flow: 3, Age: 1 << 40}}}}},
		{DataCentre: "a", Peers: []tokenrouter.PeerGroup{{Peers: []tokenrouter.PeerState{{Address: netip.MustParseAddrPort("10.0.0.1:0"), Dead: true}}}}},
	} {
		encoded, err := proto.Marshal(messageToProto(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		var message edgev1.Message
		if proto.Unmarshal(datagram, &message) != nil {
			return
		}
		now := time.Unix(1_700_000_000, 0)
		r := tokenrouter.New(tokenrouter.Config{Self: netip.MustParseAddrPort("10.1.0.1:7000"), DataCentre: "a", Seed: 1})
		r.Apply(now, &tokenrouter.StoreRead{Batch: fullBatch()})
		for i := range 3 {
			from := netip.AddrPortFrom(netip.MustParseAddr("10.1.0.2"), uint16(7000+i))
			r.Apply(now, &tokenrouter.MessageReceived{From: from, Message: messageFromProto(&message)})
			now = now.Add(300 * time.Millisecond)
			r.Apply(now, &tokenrouter.Tick{})
		}
	})
}
