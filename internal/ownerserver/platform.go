package ownerserver

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

const (
	platformPath = "/v1/values"
	// maxPlatformBytes limits one response of the platform.
	maxPlatformBytes = 32 << 20
	// platformReadMargin is the time allowed for a read in addition to its
	// wait.
	platformReadMargin = 5 * time.Second
)

// platformClient reads the platform, the service that publishes the
// configuration.
type platformClient struct {
	client    *http.Client
	addresses []netip.AddrPort
	metrics   *counters
	// nextAddress selects the address to read from, modulo the number of
	// addresses. Each failed read advances it.
	nextAddress atomic.Uint32
}

// platformResponse is the JSON body of a platform response.
type platformResponse struct {
	Version view.Version    `json:"version"`
	Values  []platformValue `json:"values"`
}

type platformValue struct {
	Key     string       `json:"key"`
	Version view.Version `json:"version"`
	Content string       `json:"content"`
	Deleted bool         `json:"deleted"`
}

func newHTTPClient() *http.Client {
	return &http.Client{
		CheckRedirect: noRedirect,
		Transport: &http.Transport{
			DialContext:  (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout,
			// gzip reduces values to a tenth. The limit on responses applies to
			// the decompressed size.
			MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: false,
		},
	}
}

func newPlatformClient(c *http.Client, addresses []netip.AddrPort, m *counters) *platformClient {
	p := &platformClient{client: c, addresses: addresses, metrics: m}
	p.nextAddress.Store(rand.Uint32())
	return p
}

// readPlatform tries each address at most once. Retries and backoff are up to
// the router.
func (s *Server) readPlatform(e *ownerrouter.Effect) {
	since, wait, timeout := e.Since, e.Wait, orDefault(e.Timeout, e.Wait+platformReadMargin)
	requestedAt := time.Now()
	s.startCall(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		values, err := s.platform.read(ctx, since, wait)
		if err != nil {
			s.post(&ownerrouter.PlatformReadFailed{Err: err})
			return
		}
		s.post(&ownerrouter.ValuesReceived{Source: ownerrouter.FromPlatform, Values: values, RequestedAt: requestedAt})
	})
}

// read returns the values newer than since from the first address that
// responds.
func (p *platformClient) read(ctx context.Context, since view.Version, wait time.Duration) ([]view.Value, error) {
	var lastErr error = &NoPlatformError{}
	for range p.addresses {
		address := p.addresses[int(p.nextAddress.Load()%uint32(len(p.addresses)))]
		p.metrics.platformReads.Inc()
		values, err := p.get(ctx, platformURL(address, since, wait))
		if err == nil {
			return values, nil
		}
		lastErr = err
		p.metrics.platformErrors.Inc()
		p.nextAddress.Add(1)
		if ctx.Err() != nil {
			break
		}
	}
	return nil, lastErr
}

func platformURL(address netip.AddrPort, since view.Version, wait time.Duration) string {
	u := url.URL{Scheme: "http", Host: address.String(), Path: platformPath}
	if since != (view.Version{}) {
		q := url.Values{}
		q.Set("generation", strconv.FormatUint(since.Generation, 10))
		q.Set("revision", strconv.FormatUint(since.Revision, 10))
		q.Set("wait", wait.String())
		u.RawQuery = q.Encode()
	}
	return u.String()
}

func (p *platformClient) get(ctx context.Context, address string) ([]view.Value, error) {
	var response platformResponse
	if _, err := getJSON(ctx, p.client, address, maxPlatformBytes, &response); err != nil {
		return nil, err
	}
	values := make([]view.Value, 0, len(response.Values))
	for _, v := range response.Values {
		if len(v.Content) > view.MaxValueBytes {
			return nil, &TooLargeError{What: "value " + v.Key, Limit: view.MaxValueBytes}
		}
		value := view.Value{Key: v.Key, Version: v.Version, Deleted: v.Deleted}
		if !v.Deleted {
			value.Content = []byte(v.Content)
		}
		values = append(values, value)
	}
	return values, nil
}

// getJSON decodes a JSON response into target and returns the HTTP status,
// which must be 200 or one of otherStatuses.
func getJSON(ctx context.Context, c *http.Client, address string, limit int64, target any, otherStatuses ...int) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := c.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := readLimited(response.Body, limit, address)
	if err != nil {
		return 0, err
	}
	accepted := response.StatusCode == http.StatusOK
	for _, code := range otherStatuses {
		accepted = accepted || response.StatusCode == code
	}
	if !accepted {
		return response.StatusCode, &HTTPStatusError{URL: address, Code: response.StatusCode}
	}
	return response.StatusCode, json.Unmarshal(content, target)
}
