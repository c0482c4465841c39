package instance

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

// signedRelease is a request as an instance with the keys makes it.
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
		s := signRequest(testRing(t, keys...), procedure, at, body)
		s.set(r.Header)
	}
	return r
}

func post(t *testing.T, r *http.Request) int {
	t.Helper()
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func TestOnlyAuthenticMessagesReachTheNode(t *testing.T) {
	old, fresh, foreign := testKey(1), testKey(2), testKey(9)
	foreign.ID = 1
	f := newFakeNode(nil)
	i := run(t, testSettings("b", loopback, fresh, old), f)
	f.setView(viewOf(i))
	now := time.Now()
	tests := []struct {
		name   string
		change func(r *http.Request)
		at     time.Time
		keys   []settings.Key
		status int
	}{
		{"new key", nil, now, []settings.Key{fresh}, http.StatusOK},
		{"old key while both live", nil, now, []settings.Key{old}, http.StatusOK},
		{"unsigned", nil, now, nil, http.StatusUnauthorized},
		{"another secret under a live ID", nil, now, []settings.Key{foreign}, http.StatusUnauthorized},
		{"key that is gone", nil, now, []settings.Key{testKey(3)}, http.StatusUnauthorized},
		{"too old", nil, now.Add(-2 * replayWindow), []settings.Key{fresh}, http.StatusUnauthorized},
		{"from the future", nil, now.Add(2 * replayWindow), []settings.Key{fresh}, http.StatusUnauthorized},
		{"changed time", func(r *http.Request) {
			r.Header.Set(headerTime, strconv.FormatInt(now.Add(time.Second).UnixNano(), 10))
		}, now, []settings.Key{fresh}, http.StatusUnauthorized},
		{"sent to another procedure", func(r *http.Request) {
			r.URL.Path = peerv1connect.PeerServiceHandoverProcedure
		}, now, []settings.Key{fresh}, http.StatusUnauthorized},
		{
			"changed MAC", func(r *http.Request) { r.Header.Set(headerMAC, hex.EncodeToString(make([]byte, 32))) },
			now,
			[]settings.Key{fresh},
			http.StatusUnauthorized,
		},
	}
	accepted := 0
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := signedRelease(t, i.PeersAddress(), tt.at, tt.keys...)
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
	if err := i.ask(context.Background(), func() {}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(accepted, len(f.events)); diff != "" {
		t.Errorf("events of the node: %s", diff)
	}
}

func TestReplayedMessageIsRefused(t *testing.T) {
	key := testKey(1)
	f := newFakeNode(nil)
	i := run(t, testSettings("b", loopback, key), f)
	f.setView(viewOf(i))
	first := signedRelease(t, i.PeersAddress(), time.Now(), key)
	again := first.Clone(context.Background())
	again.Body, _ = first.GetBody()
	statuses := []int{post(t, first), post(t, again)}
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusUnauthorized}, statuses); diff != "" {
		t.Error(diff)
	}
}

func TestMessagesAreRememberedAsLongAsTheyAreAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &authenticator{}
		mac := [32]byte{1}
		if !a.remember(mac, time.Now()) {
			t.Fatal("refused at first")
		}
		// A message from the future is accepted for twice the window.
		for range 4 {
			time.Sleep(replayWindow / 2)
			if a.remember(mac, time.Now()) {
				t.Fatal("accepted again inside the window")
			}
		}
		for range 10 {
			time.Sleep(replayWindow)
			a.remember([32]byte{2, byte(time.Now().Unix())}, time.Now())
		}
		if len(a.recent)+len(a.older) > 8 {
			t.Errorf("%d MACs are kept for ever", len(a.recent)+len(a.older))
		}
	})
}

func TestOversizedMessagesAreRefused(t *testing.T) {
	for name, keys := range map[string][]settings.Key{"signed": {testKey(1)}, "without keys": nil} {
		t.Run(name, func(t *testing.T) {
			f := newFakeNode(nil)
			i := run(t, testSettings("b", loopback, keys...), f)
			request := &peerv1.ReleaseRequest{Upstreams: make([]uint64, requestBytes/8+1)}
			caller := newPeerCaller(1, testRing(t, keys...), newCounters())
			client := peerv1connect.NewPeerServiceClient(caller.client, "http://"+i.PeersAddress().String())
			if _, err := client.Release(context.Background(), connect.NewRequest(request)); err == nil {
				t.Error("accepted")
			}
			if len(f.events) != 0 {
				t.Errorf("the node heard of it: %T", <-f.events)
			}
		})
	}
}

func TestAnswerOfAnImpostorIsRefused(t *testing.T) {
	impostor := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		w.Header().Set(headerMAC, hex.EncodeToString(make([]byte, 32)))
	}))
	caller := newPeerCaller(1, testRing(t, testKey(1)), newCounters())
	_, err := caller.to(impostor).Fetch(context.Background(), connect.NewRequest(&peerv1.FetchRequest{}))
	var refused *AuthenticationError
	if !errors.As(err, &refused) {
		t.Errorf("got %v", err)
	}
}
