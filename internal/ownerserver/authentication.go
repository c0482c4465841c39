package ownerserver

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/keyring"
)

const (
	// replayWindow is the maximum difference between the timestamp of a message
	// and the receiver's clock.
	replayWindow = 30 * time.Second
	nonceBytes   = 8

	headerKey   = "Chervilhaven-Key"
	headerTime  = "Chervilhaven-Time"
	headerNonce = "Chervilhaven-Nonce"
	headerMAC   = "Chervilhaven-Mac"
)

// signature holds the values of the headers of a signed request.
type signature struct {
	key   uint8
	time  string
	nonce string
	mac   []byte
}

func (s *signature) setHeaders(h http.Header) {
	h.Set(headerKey, strconv.Itoa(int(s.key)))
	h.Set(headerTime, s.time)
	h.Set(headerNonce, s.nonce)
	h.Set(headerMAC, hex.EncodeToString(s.mac))
}

func parseSignature(h http.Header) (signature, error) {
	key, err := strconv.ParseUint(h.Get(headerKey), 10, 8)
	if err != nil {
		return signature{}, &AuthenticationError{Reason: "missing or invalid key ID"}
	}
	mac, err := hex.DecodeString(h.Get(headerMAC))
	if err != nil || len(mac) != keyring.MessageMACBytes {
		return signature{}, &AuthenticationError{Reason: "missing or malformed MAC"}
	}
	return signature{key: uint8(key), time: h.Get(headerTime), nonce: h.Get(headerNonce), mac: mac}, nil
}

// signRequest signs the procedure, the time, a random nonce and the body.
func signRequest(keys *keyring.Keyring, procedure string, now time.Time, body []byte) signature {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	s := signature{key: keys.SigningID(), time: strconv.FormatInt(now.UnixNano(), 10), nonce: hex.EncodeToString(nonce[:])}
	s.mac, _ = keys.MessageMAC(s.key, []byte(procedure), []byte(s.time), []byte(s.nonce), body)
	return s
}

// signResponse returns the MAC of a response. It covers the MAC of the request,
// so that the response is valid for that request only.
func signResponse(keys *keyring.Keyring, key uint8, request []byte, status int, body []byte) ([]byte, bool) {
	return keys.MessageMAC(key, []byte("answer"), request, []byte(strconv.Itoa(status)), body)
}

// authenticator is HTTP middleware that rejects requests that are not signed
// with a current key, whose timestamp is outside the replay window, or that
// were accepted before.
type authenticator struct {
	keys    *keyring.Keyring
	metrics *counters
	next    http.Handler
	limit   int64

	mu sync.Mutex
	// current and previous hold the MACs accepted in the current and in the
	// previous period of twice the replay window. rotatedAt is when the current
	// period began.
	current, previous map[[keyring.MessageMACBytes]byte]struct{}
	rotatedAt         time.Time
}

// ServeHTTP passes authenticated requests to the next handler and signs its
// response.
func (a *authenticator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := readLimited(r.Body, a.limit, "request")
	if err != nil {
		a.reject(w, err, http.StatusRequestEntityTooLarge)
		return
	}
	s, err := a.verify(r, body, time.Now())
	if err != nil {
		a.reject(w, err, http.StatusUnauthorized)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	response := &responseBuffer{header: make(http.Header), status: http.StatusOK}
	a.next.ServeHTTP(response, r)
	for name, values := range response.header {
		w.Header()[name] = values
	}
	if mac, ok := signResponse(a.keys, s.key, s.mac, response.status, response.body.Bytes()); ok {
		w.Header().Set(headerMAC, hex.EncodeToString(mac))
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body.Bytes())
}

func (a *authenticator) reject(w http.ResponseWriter, err error, status int) {
	a.metrics.unauthenticated.Inc()
	http.Error(w, err.Error(), status)
}

func (a *authenticator) verify(r *http.Request, body []byte, now time.Time) (signature, error) {
	s, err := parseSignature(r.Header)
	if err != nil {
		return signature{}, err
	}
	if !a.keys.VerifyMessage(s.key, s.mac, []byte(r.URL.Path), []byte(s.time), []byte(s.nonce), body) {
		return signature{}, &AuthenticationError{Reason: "MAC mismatch or unknown key"}
	}
	nanoseconds, err := strconv.ParseInt(s.time, 10, 64)
	if err != nil || now.Sub(time.Unix(0, nanoseconds)).Abs() > replayWindow {
		return signature{}, &AuthenticationError{Reason: "timestamp outside the replay window"}
	}
	if !a.recordMAC([keyring.MessageMACBytes]byte(s.mac), now) {
		return signature{}, &AuthenticationError{Reason: "replayed"}
	}
	return s, nil
}

// recordMAC records a MAC and reports whether it is new. A timestamp may be in
// the future, so a message can be accepted for twice the replay window; MACs
// are kept for at least that long. Only requests signed with a valid key are
// recorded, which limits the memory that others can fill.
func (a *authenticator) recordMAC(mac [keyring.MessageMACBytes]byte, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || now.Sub(a.rotatedAt) > 2*replayWindow {
		a.previous, a.current = a.current, make(map[[keyring.MessageMACBytes]byte]struct{})
		a.rotatedAt = now
	}
	_, recent := a.current[mac]
	_, older := a.previous[mac]
	if recent || older {
		return false
	}
	a.current[mac] = struct{}{}
	return true
}

// responseBuffer is an http.ResponseWriter that buffers a response until it is
// signed.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header map, which is copied to the response after signing.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader stores the status code.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write appends to the buffered body. It never fails.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// signingTransport signs requests and verifies that each response is signed
// with the same key and for the same request.
type signingTransport struct {
	keys  *keyring.Keyring
	next  http.RoundTripper
	limit int64
}

// RoundTrip signs and sends a request and returns the verified response. It
// buffers both bodies.
func (t *signingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readRequestBody(r, t.limit)
	if err != nil {
		return nil, err
	}
	s := signRequest(t.keys, r.URL.Path, time.Now(), body)
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	s.setHeaders(signed.Header)
	response, err := t.next.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := readLimited(response.Body, t.limit, "response")
	if err != nil {
		return nil, err
	}
	if err := t.verify(response, s, content); err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(content))
	return response, nil
}

// readRequestBody reads and closes the body, as http.RoundTripper requires.
func readRequestBody(r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	return readLimited(r.Body, limit, "request")
}

func (t *signingTransport) verify(response *http.Response, s signature, content []byte) error {
	got, err := hex.DecodeString(response.Header.Get(headerMAC))
	if err != nil {
		return &AuthenticationError{Reason: "malformed response MAC"}
	}
	if !t.keys.VerifyMessage(s.key, got, []byte("answer"), s.mac, []byte(strconv.Itoa(response.StatusCode)), content) {
		return &AuthenticationError{Reason: "response MAC mismatch"}
	}
	return nil
}

// readLimited reads a body and returns TooLargeError if it exceeds limit bytes.
func readLimited(body io.Reader, limit int64, what string) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, &TooLargeError{What: what, Limit: limit}
	}
	return content, nil
}
