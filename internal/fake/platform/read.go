package platform

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Response is the JSON body of the response to a read.
type Response struct {
	Version view.Version    `json:"version"`
	Values  []ResponseValue `json:"values"`
}

// ResponseValue is a value in a Response. Version is that of the write or
// deletion of the value.
type ResponseValue struct {
	Key     string       `json:"key"`
	Version view.Version `json:"version"`
	Content string       `json:"content,omitempty"`
	Deleted bool         `json:"deleted,omitempty"`
}

// QueryError reports a read with an invalid query parameter.
type QueryError struct{ Parameter, Text string }

// Error returns the parameter and its invalid value.
func (e *QueryError) Error() string {
	return "bad query: " + e.Parameter + "=" + strconv.Quote(e.Text)
}

// query holds the parsed query parameters of a read.
type query struct {
	// all requests every value and disables waiting.
	all bool
	// since limits the values to those written after it, unless it belongs to
	// another generation.
	since view.Version
	wait  time.Duration
	keys  []string
}

func parseQuery(values url.Values) (query, error) {
	q := query{keys: values["key"]}
	q.all = !values.Has("generation") && !values.Has("revision")
	for _, parameter := range []struct {
		name   string
		target *uint64
	}{{"generation", &q.since.Generation}, {"revision", &q.since.Revision}} {
		text := values.Get(parameter.name)
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil && !q.all {
			return query{}, &QueryError{Parameter: parameter.name, Text: text}
		}
		*parameter.target = number
	}
	if text := values.Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 {
			return query{}, &QueryError{Parameter: "wait", Text: text}
		}
		q.wait = min(wait, MaxWait)
	}
	return q, nil
}

func (p *Platform) handleValues(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	p.readCount++
	delay := p.readDelay
	p.mutex.Unlock()
	q, err := parseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !sleep(r, delay) {
		return
	}
	timeout := time.NewTimer(q.wait)
	defer timeout.Stop()
	for {
		response, changed, down := p.lookUp(q)
		if down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		if len(response.Values) > 0 || q.all || q.wait == 0 {
			writeResponse(w, r, response)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeResponse(w, r, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func sleep(r *http.Request, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeResponse sends the response as JSON, gzip-compressed if the client
// accepts it.
func writeResponse(w http.ResponseWriter, r *http.Request, response Response) {
	w.Header().Set("Content-Type", "application/json")
	var body io.Writer = w
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		compressor := gzip.NewWriter(w)
		defer func() { _ = compressor.Close() }()
		body = compressor
	}
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(body).Encode(response)
}

// lookUp returns the values that match the query, a channel that is closed at
// the next change, and whether the platform is down.
func (p *Platform) lookUp(q query) (Response, <-chan struct{}, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.stateBefore(p.staleWrites)
	response := Response{Version: state.version, Values: []ResponseValue{}}
	all := q.all || q.since.Generation != state.version.Generation
	for _, v := range sortedByKey(state.values) {
		if len(q.keys) > 0 && !slices.Contains(q.keys, v.Key) {
			continue
		}
		if !all && v.Version.Compare(q.since) <= 0 {
			continue
		}
		response.Values = append(response.Values, ResponseValue{
			Key: v.Key, Version: v.Version, Content: string(v.Content), Deleted: v.Deleted,
		})
	}
	return response, p.changed, p.down
}
