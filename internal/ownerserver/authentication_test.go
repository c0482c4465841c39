package ownerserver

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// signedRelease returns a Release request signed by an instance with the given
// keys, or unsigned if there are none.
func signedRelease(t *testing.T, to netip.AddrPort, at time.Time, keys ...settings.Key) *http.Request {
	t.Helper()
	body, err := proto.Marshal(&peerv1.ReleaseRequest{From: uint64(view.IDFromName("b")), Upstreams: []uint64{2}})
	if err != nil {
		t.Fatal(err)
	}
	procedure := peerv1connect.PeerServiceReleaseProcedure
	r, err := http.NewRequest(http.MethodPost, "http://"+to.String()+procedure, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/proto")
	if len(keys) > 0 {
		s := signRequest(testKeyring(t, keys...), procedure, at, body)
		s.setHeaders(r.Header)
	}
	return r
}

func post(t *testing.T, r *http.Request) int {
	t.Helper()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestOnlyAuthenticatedMessagesReachRouter(t *testing.T) {
	old, fresh, unknown := testKey(1), testKey(2), testKey(9)
	unknown.ID = 1
	f := newFakeRouter(nil)
	server := run(t, testSettings("b", loopback, fresh, old), f)
	f.setView(viewOf(server))
	now := time.Now()
	tests := []struct {
		name   string
		change func(r *http.Request)
		at     time.Time
		keys   []settings.Key
		status int
	}{
		{"new key", nil, now, []settings.Key{fresh}, http.StatusOK},
		{"old key during rotation", nil, now, []settings.Key{old}, http.StatusOK},
		{"unsigned", nil, now, nil, http.StatusUnauthorized},
		{"wrong secret under a valid key ID", nil, now, []settings.Key{unknown}, http.StatusUnauthorized},
		{"removed key", nil, now, []settings.Key{testKey(3)}, http.StatusUnauthorized},
		{"timestamp too old", nil, now.Add(-2 * replayWindow), []settings.Key{fresh}, http.StatusUnauthorized},
		{"timestamp in the future", nil, now.Add(2 * replayWindow), []settings.Key{fresh}, http.StatusUnauthorized},
		{"modified timestamp", func(r *http.Request) {
			r.Header.Set(headerTime, strconv.FormatInt(now.Add(time.Second).UnixNano(), 10))
		}, now, []settings.Key{fresh}, http.StatusUnauthorized},
		{"sent to a different procedure", func(r *http.Request) {
			r.URL.Path = peerv1connect.PeerServiceHandoverProcedure
		}, now, []settings.Key{fresh}, http.StatusUnauthorized},
		{
			"modified MAC", func(r *http.Request) { r.Header.Set(headerMAC, hex.EncodeToString(make([]byte, 32))) },
			now,
			[]settings.Key{fresh},
			http.StatusUnauthorized,
		},
	}
	accepted := 0
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := signedRelease(t, server.PeersAddress(), tt.at, tt.keys...)
			if tt.change != nil {
				tt.change(r)
			}
			if diff := cmp.Diff(tt.status, post(t, r)); diff != "" {
				t.Error(diff)
			}
		})
		if tt.status == http.StatusOK {
			accepted++
		}
	}
	if err := server.runOnLoop(context.Background(), func() {}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(accepted, len(f.events)); diff != "" {
		t.Errorf("events received by the router: %s", diff)
	}
}

func TestReplayedMessageIsRejected(t *testing.T) {
	key := testKey(1)
	f := newFakeRouter(nil)
	server := run(t, testSettings("b", loopback, key), f)
	f.setView(viewOf(server))
	first := signedRelease(t, server.PeersAddress(), time.Now(), key)
	replay := first.Clone(context.Background())
	replay.Body, _ = first.GetBody()
	statuses := []int{post(t, first), post(t, replay)}
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusUnauthorized}, statuses); diff != "" {
		t.Error(diff)
	}
}

func TestMACsAreKeptForTheWholeReplayWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &authenticator{}
		mac := [32]byte{1}
		if !a.recordMAC(mac, time.Now()) {
			t.Fatal("new MAC rejected")
		}
		// A message with a future timestamp is acceptable for twice the window.
		for range 4 {
			time.Sleep(replayWindow / 2)
			if a.recordMAC(mac, time.Now()) {
				t.Fatal("replayed MAC accepted within the window")
			}
		}
		for range 10 {
			time.Sleep(replayWindow)
			a.recordMAC([32]byte{2, byte(time.Now().Unix())}, time.Now())
		}
		if len(a.current)+len(a.previous) > 8 {
			t.Errorf("%d MACs kept, want at most 8: expired ones are not removed", len(a.current)+len(a.previous))
		}
	})
}

func TestOversizedMessagesAreRejected(t *testing.T) {
	for name, keys := range map[string][]settings.Key{"signed": {testKey(1)}, "without keys": nil} {
		t.Run(name, func(t *testing.T) {
			f := newFakeRouter(nil)
			server := run(t, testSettings("b", loopback, keys...), f)
			request := &peerv1.ReleaseRequest{Upstreams: make([]uint64, maxRequestBytes/8+1)}
			clients := newPeerClientPool(1, testKeyring(t, keys...), newCounters())
			client := peerv1connect.NewPeerServiceClient(clients.client, "http://"+server.PeersAddress().String())
			if _, err := client.Release(context.Background(), connect.NewRequest(request)); err == nil {
				t.Error("oversized request was accepted")
			}
			if len(f.events) != 0 {
				t.Errorf("the router received the event %T", <-f.events)
			}
		})
	}
}

func TestResponseWithoutValidMACIsRejected(t *testing.T) {
	impostor := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		w.Header().Set(headerMAC, hex.EncodeToString(make([]byte, 32)))
	}))
	clients := newPeerClientPool(1, testKeyring(t, testKey(1)), newCounters())
	_, err := clients.clientFor(impostor).Fetch(context.Background(), connect.NewRequest(&peerv1.FetchRequest{}))
	var refused *AuthenticationError
	if !errors.As(err, &refused) {
		t.Errorf("got error %v, want AuthenticationError", err)
	}
}
