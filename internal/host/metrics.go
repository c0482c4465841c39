package host

import "github.com/VictoriaMetrics/metrics"

// counters are what the runtime counts.
type counters struct {
	set           *metrics.Set
	received      *metrics.Counter
	sent          *metrics.Counter
	messages      *metrics.Counter
	malformed     *metrics.Counter
	readErrors    *metrics.Counter
	writeErrors   *metrics.Counter
	pauses        *metrics.Counter
	fetches       *metrics.Counter
	storeCalls    *metrics.Counter
	storeFailures *metrics.Counter
	storeTime     *metrics.PrometheusHistogram
}

func newCounters() *counters {
	s := metrics.NewSet()
	return &counters{
		set:           s,
		received:      s.NewCounter("chervilhaven_edge_packets_received_total"),
		sent:          s.NewCounter("chervilhaven_edge_packets_sent_total"),
		messages:      s.NewCounter("chervilhaven_edge_messages_received_total"),
		malformed:     s.NewCounter("chervilhaven_edge_malformed_total"),
		readErrors:    s.NewCounter("chervilhaven_edge_read_errors_total"),
		writeErrors:   s.NewCounter("chervilhaven_edge_write_errors_total"),
		pauses:        s.NewCounter("chervilhaven_edge_pauses_total"),
		fetches:       s.NewCounter("chervilhaven_edge_fetches_total"),
		storeCalls:    s.NewCounter("chervilhaven_edge_store_calls_total"),
		storeFailures: s.NewCounter("chervilhaven_edge_store_failures_total"),
		storeTime:     s.NewPrometheusHistogram("chervilhaven_edge_store_call_seconds"),
	}
}
