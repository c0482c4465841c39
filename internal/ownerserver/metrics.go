package ownerserver

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/geneve"
)

// counters holds the metrics of one instance. Each instance has a separate set,
// so that several can run in one process.
type counters struct {
	set *metrics.Set

	fromFabric, fromPeers         *metrics.Counter
	forwarded, relayed            *metrics.Counter
	readErrors                    *metrics.Counter
	pauses                        *metrics.Counter
	unauthenticated               *metrics.Counter
	controlReceived, controlSent  *metrics.Counter
	platformReads, platformErrors *metrics.Counter
	handoversSent, handoversLost  *metrics.Counter
	statusPolls, statusErrors     *metrics.Counter

	// Latest values observed by the event loop.
	members, generation, revision atomic.Uint64

	// drops and refusals map each reason to its counter. The maps are read-only
	// after construction.
	drops    map[string]*metrics.Counter
	refusals map[string]*metrics.Counter
}

func newCounters() *counters {
	s := metrics.NewSet()
	c := &counters{
		set:             s,
		fromFabric:      s.NewCounter(`chervilhaven_packets_received_total{from="fabric"}`),
		fromPeers:       s.NewCounter(`chervilhaven_packets_received_total{from="peer"}`),
		forwarded:       s.NewCounter(`chervilhaven_packets_sent_total{to="upstream"}`),
		relayed:         s.NewCounter(`chervilhaven_packets_sent_total{to="peer"}`),
		readErrors:      s.NewCounter(`chervilhaven_packet_read_errors_total`),
		pauses:          s.NewCounter(`chervilhaven_pauses_total`),
		unauthenticated: s.NewCounter(`chervilhaven_peer_messages_refused_total`),
		controlReceived: s.NewCounter(`chervilhaven_control_bytes_total{direction="received"}`),
		controlSent:     s.NewCounter(`chervilhaven_control_bytes_total{direction="sent"}`),
		platformReads:   s.NewCounter(`chervilhaven_platform_reads_total`),
		platformErrors:  s.NewCounter(`chervilhaven_platform_read_errors_total`),
		handoversSent:   s.NewCounter(`chervilhaven_handovers_sent_total`),
		handoversLost:   s.NewCounter(`chervilhaven_handovers_lost_total`),
		statusPolls:     s.NewCounter(`chervilhaven_status_polls_total`),
		statusErrors:    s.NewCounter(`chervilhaven_status_poll_errors_total`),
		drops:           make(map[string]*metrics.Counter),
		refusals:        make(map[string]*metrics.Counter),
	}
	for name, value := range map[string]*atomic.Uint64{
		"chervilhaven_members":         &c.members,
		"chervilhaven_view_generation": &c.generation,
		"chervilhaven_view_revision":   &c.revision,
	} {
		s.NewGauge(name, func() float64 { return float64(value.Load()) })
	}
	for _, reason := range dropReasons() {
		c.drops[reason] = s.NewCounter(fmt.Sprintf("chervilhaven_packets_dropped_total{reason=%q}", reason))
	}
	for r := range balancer.ReasonCount {
		c.refusals[r.String()] = s.NewCounter(fmt.Sprintf("chervilhaven_flows_refused_total{reason=%q}", r.String()))
	}
	return c
}

func dropReasons() []string {
	reasons := []string{
		reasonUnknownSource, reasonUnknownPeer, reasonFabricTunnel, reasonTooLong, reasonEncode, reasonWrite, reasonLate,
	}
	for _, r := range geneve.Reasons() {
		reasons = append(reasons, string(r))
	}
	for r := range balancer.ReasonCount {
		reasons = append(reasons, r.String())
	}
	return reasons
}

func (c *counters) countDrop(reason string) { c.countDrops(reason, 1) }

func (c *counters) countDrops(reason string, packets int) {
	if n, ok := c.drops[reason]; ok {
		n.Add(packets)
	}
}

func (c *counters) countRefusal(reason string) {
	if n, ok := c.refusals[reason]; ok {
		n.Inc()
	}
}

// write writes the metrics of the instance and of the process in Prometheus
// format.
func (c *counters) write(w io.Writer) {
	c.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// countingListener counts the bytes on the connections that it accepts.
type countingListener struct {
	net.Listener
	metrics *counters
}

// Accept waits for the next connection and wraps it in a countingConn.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, metrics: l.metrics}, nil
}

// countingConn counts the bytes of a connection as control traffic.
type countingConn struct {
	net.Conn
	metrics *counters
}

// Read reads from the connection and counts the bytes received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.controlReceived.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.controlSent.Add(n)
	return n, err
}
