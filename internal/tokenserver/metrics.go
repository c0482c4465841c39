package tokenserver

import (
	"io"
	"reflect"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
)

// counters are the metrics that the I/O layer updates.
type counters struct {
	set                *metrics.Set
	packetsReceived    *metrics.Counter
	packetsSent        *metrics.Counter
	messagesReceived   *metrics.Counter
	malformedDatagrams *metrics.Counter
	readErrors         *metrics.Counter
	writeErrors        *metrics.Counter
	pauses             *metrics.Counter
	panics             *metrics.Counter
	fetches            *metrics.Counter
	dials              *metrics.Counter
	storeCalls         *metrics.Counter
	storeFailures      *metrics.Counter
	storeSeconds       *metrics.PrometheusHistogram
	// routerSeconds holds the histograms of the durations that the state machine
	// measures, in seconds.
	routerSeconds [tokenrouter.DurationMetricCount]*metrics.PrometheusHistogram
}

func newCounters() *counters {
	s := metrics.NewSet()
	c := &counters{
		set:                s,
		packetsReceived:    s.NewCounter("chervilhaven_edge_packets_received_total"),
		packetsSent:        s.NewCounter("chervilhaven_edge_packets_sent_total"),
		messagesReceived:   s.NewCounter("chervilhaven_edge_messages_received_total"),
		malformedDatagrams: s.NewCounter("chervilhaven_edge_malformed_datagrams_total"),
		readErrors:         s.NewCounter("chervilhaven_edge_read_errors_total"),
		writeErrors:        s.NewCounter("chervilhaven_edge_write_errors_total"),
		pauses:             s.NewCounter("chervilhaven_edge_pauses_total"),
		panics:             s.NewCounter("chervilhaven_edge_panics_total"),
		fetches:            s.NewCounter("chervilhaven_edge_fetches_total"),
		dials:              s.NewCounter("chervilhaven_edge_upstream_dials_total"),
		storeCalls:         s.NewCounter("chervilhaven_edge_store_calls_total"),
		storeFailures:      s.NewCounter("chervilhaven_edge_store_failures_total"),
		storeSeconds:       s.NewPrometheusHistogram("chervilhaven_edge_store_call_seconds"),
	}
	for o := range tokenrouter.DurationMetricCount {
		c.routerSeconds[o] = s.NewPrometheusHistogram("chervilhaven_edge_" + o.String() + "_seconds")
	}
	return c
}

// WriteMetrics writes the metrics of the instance in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) {
	s.mu.Lock()
	counts, ready, age := s.router.Counts(), s.router.Ready(), s.router.SourceAges(s.now())
	s.mu.Unlock()
	set := metrics.NewSet()
	v := reflect.ValueOf(counts)
	for n := range v.NumField() {
		name := strings.ReplaceAll(v.Type().Field(n).Tag.Get("json"), "-", "_")
		set.NewCounter("chervilhaven_edge_" + name + "_total").Set(v.Field(n).Uint())
	}
	set.NewGauge("chervilhaven_edge_ready", nil).Set(map[bool]float64{true: 1}[ready])
	for source, d := range age {
		set.NewGauge("chervilhaven_edge_news_age_seconds{source=\""+source+"\"}", nil).Set(d.Seconds())
	}
	set.WritePrometheus(w)
	s.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
