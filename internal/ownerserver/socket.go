package ownerserver

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gopacket/gopacket"
	"golang.org/x/net/ipv4"

	"github.com/chervilhaven/chervilhaven/internal/geneve"
	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const (
	// batchSize is the maximum number of packets read with one system call.
	batchSize = 64
	// batchCount is the number of batches that circulate between the reader,
	// the event loop and the writer.
	batchCount = 4
	// maxDatagramBytes fits a jumbo frame. Longer datagrams are dropped.
	maxDatagramBytes = 9216
	// socketBufferBytes is the requested size of the kernel's receive and send
	// buffers.
	socketBufferBytes = 4 << 20
	// messageTruncated is MSG_TRUNC, set if the datagram was longer than its
	// buffer.
	messageTruncated = 0x20
)

// Drop reasons, in addition to those of packages geneve and balancer.
const (
	reasonUnknownSource = "unknown-source"
	reasonUnknownPeer   = "unknown-peer"
	reasonFabricTunnel  = "fabric-tunnel"
	reasonTooLong       = "too-long"
	reasonEncode        = "encode"
	reasonWrite         = "write"
	reasonLate          = "late"
)

// receivedPacket is a received datagram and its decoded headers.
type receivedPacket struct {
	source netip.AddrPort
	outer  geneve.Encapsulation
	packet flow.Packet
	// reason is the reason to drop the packet, empty if it was accepted.
	reason string
}

// output is one datagram to send. It consists of a new header and the inner
// packet of a received datagram, which is not copied.
type output struct {
	header  gopacket.SerializeBuffer
	buffers [2][]byte
	// address is the destination. Its IP is a slice of ip, so that setting it
	// does not allocate.
	ip      [16]byte
	address net.UDPAddr
	// bufferCount is the number of elements of buffers in use.
	bufferCount int
}

// setDestination sets the destination address and the number of buffers to
// send.
func (o *output) setDestination(address netip.AddrPort, bufferCount int) {
	o.ip = address.Addr().As16()
	o.address = net.UDPAddr{IP: o.ip[:], Port: int(address.Port()), Zone: address.Addr().Zone()}
	o.bufferCount = bufferCount
}

// batch holds received packets and the datagrams to send for them. It
// circulates from the reader to the event loop to the writer and back.
type batch struct {
	reads       []ipv4.Message
	packets     []receivedPacket
	packetCount int
	outputs     []*output
	// outputCount is the number of elements of outputs in use.
	outputCount int
	writes      []ipv4.Message
	// decided is the time at which the event loop processed the batch.
	decided time.Time
}

func newBatch() *batch {
	b := &batch{reads: make([]ipv4.Message, batchSize), packets: make([]receivedPacket, batchSize)}
	for n := range b.reads {
		b.reads[n].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
	}
	return b
}

// addOutput returns an unused output and counts it as in use.
func (b *batch) addOutput() *output {
	if b.outputCount == len(b.outputs) {
		b.outputs = append(b.outputs, &output{header: geneve.NewHeaderBuffer()})
		b.writes = append(b.writes, ipv4.Message{})
	}
	b.outputCount++
	return b.outputs[b.outputCount-1]
}

// removeOutput undoes the last addOutput.
func (b *batch) removeOutput() { b.outputCount-- }

// messages returns the outputs in the form that WriteBatch takes.
func (b *batch) messages() []ipv4.Message {
	for n, o := range b.outputs[:b.outputCount] {
		b.writes[n].Buffers = o.buffers[:o.bufferCount]
		b.writes[n].Addr = &o.address
	}
	return b.writes[:b.outputCount]
}

// packetSocket reads and decodes packets, and writes datagrams, in batches.
type packetSocket struct {
	connection *net.UDPConn
	batched    *ipv4.PacketConn
	decoder    *geneve.Decoder
	fabric     map[netip.AddrPort]bool
	metrics    *counters
	// A batch passes through free to the reader, through received to the event
	// loop and through decided to the writer.
	free     chan *batch
	received chan *batch
	decided  chan *batch
}

func newPacketSocket(address netip.AddrPort, fabric []netip.AddrPort, keys *keyring.Keyring, m *counters) (*packetSocket, error) {
	network := "udp4"
	if address.Addr().Is6() {
		network = "udp6"
	}
	connection, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// The kernel reduces the sizes to its limits; smaller buffers still work.
	_ = connection.SetReadBuffer(socketBufferBytes)
	_ = connection.SetWriteBuffer(socketBufferBytes)
	s := &packetSocket{
		connection: connection, batched: ipv4.NewPacketConn(connection), decoder: geneve.NewDecoder(keys),
		fabric: make(map[netip.AddrPort]bool), metrics: m,
		// Each channel has room for all batches, so sending never blocks.
		free: make(chan *batch, batchCount), received: make(chan *batch, batchCount), decided: make(chan *batch, batchCount),
	}
	for _, a := range fabric {
		s.fabric[a] = true
	}
	for range batchCount {
		s.free <- newBatch()
	}
	return s, nil
}

func (s *packetSocket) address() netip.AddrPort {
	return udpAddrPort(s.connection.LocalAddr())
}

func (s *packetSocket) close() { _ = s.connection.Close() }

// read passes batches of received packets to the event loop until the socket is
// closed.
func (s *packetSocket) read(done <-chan struct{}) {
	for {
		var b *batch
		select {
		case b = <-s.free:
		case <-done:
			return
		}
		n, err := s.batched.ReadBatch(b.reads, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n = 0
			s.metrics.readErrors.Inc()
		}
		b.packetCount, b.outputCount = n, 0
		for k := range n {
			s.decode(&b.reads[k], &b.packets[k])
		}
		s.received <- b
	}
}

// decode decodes a datagram and checks that its source may send it.
func (s *packetSocket) decode(m *ipv4.Message, p *receivedPacket) {
	p.source, p.reason = udpAddrPort(m.Addr), ""
	if m.Flags&messageTruncated != 0 {
		p.reason = reasonTooLong
		return
	}
	if err := s.decoder.Decode(m.Buffers[0][:m.N], &p.outer, &p.packet); err != nil {
		p.reason = reasonUnknownSource
		var rejected *geneve.Error
		if errors.As(err, &rejected) {
			p.reason = string(rejected.Reason)
		}
		return
	}
	fabric := s.fabric[p.source]
	switch {
	case fabric && (p.outer.Relayed || p.outer.VNI != 0):
		p.reason = reasonFabricTunnel
	case fabric:
		s.metrics.fromFabric.Inc()
	case !p.outer.Relayed:
		p.reason = reasonUnknownSource
	default:
		s.metrics.fromPeers.Inc()
	}
}

// write sends the outputs of decided batches until done is closed.
func (s *packetSocket) write(done <-chan struct{}) {
	for {
		select {
		case b := <-s.decided:
			// After a pause of the process the decisions may be outdated.
			if time.Since(b.decided) > PauseThreshold {
				s.metrics.countDrops(reasonLate, b.outputCount)
			} else {
				s.writeAll(b.messages())
			}
			s.free <- b
		case <-done:
			return
		}
	}
}

func (s *packetSocket) writeAll(messages []ipv4.Message) {
	for len(messages) > 0 {
		n, err := s.batched.WriteBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && n <= 0 {
			// Only the first message failed; skip it and send the rest.
			s.metrics.countDrop(reasonWrite)
			n = 1
		}
		messages = messages[n:]
	}
}

func udpAddrPort(address net.Addr) netip.AddrPort {
	a, ok := address.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}
