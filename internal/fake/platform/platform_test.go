package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/fake/platform"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

func newPlatform(t *testing.T) *platform.Platform {
	t.Helper()
	p, err := platform.New(platform.Config{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.Run(t.Context()) }()
	return p
}

// read performs a read and returns the status code and the body in the form
// "version: key@version=content ...".
func read(t *testing.T, p *platform.Platform, query string) (int, string) {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s/v1/values%s", p.Address(), query))
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, ""
	}
	var body platform.Response
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Error(err)
	}
	text := []string{body.Version.String() + ":"}
	for _, v := range body.Values {
		text = append(text, fmt.Sprintf("%s@%s=%s", v.Key, v.Version, v.Content))
	}
	return response.StatusCode, strings.Join(text, " ")
}

func put(t *testing.T, p *platform.Platform, key, content string) {
	t.Helper()
	if err := p.Put(key, []byte(content)); err != nil {
		t.Fatal(err)
	}
}

func TestRead(t *testing.T) {
	p := newPlatform(t)
	put(t, p, "a", "1")
	put(t, p, "b", "2")
	put(t, p, "a", "3")
	p.Delete("b")
	for _, test := range []struct {
		query string
		code  int
		want  string
	}{
		{"", 200, "1.4: a@1.3=3 b@1.4="},
		{"?key=a", 200, "1.4: a@1.3=3"},
		{"?generation=1&revision=3", 200, "1.4: b@1.4="},
		{"?generation=1&revision=4", 200, "1.4:"},
		{"?generation=1&revision=4&wait=1ms", 200, "1.4:"},
		{"?generation=9&revision=9&wait=30s", 200, "1.4: a@1.3=3 b@1.4="},
		{"?generation=1", 400, ""},
		{"?generation=x&revision=1", 400, ""},
		{"?wait=long", 400, ""},
	} {
		code, got := read(t, p, test.query)
		if diff := cmp.Diff(test.want, got); diff != "" || code != test.code {
			t.Errorf("query %q: status %d, values (-want +got): %s", test.query, code, diff)
		}
	}
	if reads := p.Reads(); reads != 9 {
		t.Errorf("%d reads counted, want 9", reads)
	}
}

func TestWatchReturnsOnWrite(t *testing.T) {
	p := newPlatform(t)
	put(t, p, "a", "1")
	got := make(chan string)
	go func() {
		_, text := read(t, p, "?generation=1&revision=1&wait=30s")
		got <- text
	}()
	for p.Reads() == 0 {
		time.Sleep(time.Millisecond)
	}
	put(t, p, "a", "2")
	if diff := cmp.Diff("1.2: a@1.2=2", <-got); diff != "" {
		t.Error(diff)
	}
}

func TestFaults(t *testing.T) {
	p := newPlatform(t)
	put(t, p, "a", "1")
	put(t, p, "a", "2")
	put(t, p, "b", "3")
	p.SetStale(2)
	if _, got := read(t, p, ""); got != "1.1: a@1.1=1" {
		t.Errorf("stale read returned %q", got)
	}
	p.SetStale(0)
	p.Restore(1)
	if _, got := read(t, p, "?generation=1&revision=3"); got != "2.1: a@2.1=2" {
		t.Errorf("read after a restore returned %q", got)
	}
	p.SetDown(true)
	if code, _ := read(t, p, ""); code != http.StatusServiceUnavailable {
		t.Errorf("read from an unavailable platform: status %d, want 503", code)
	}
}

func TestPublish(t *testing.T) {
	p := newPlatform(t)
	err := p.PublishInventory(inventory.Inventory{
		Services: []inventory.Service{{Name: "desk", Number: 1, Addresses: []netip.Addr{netip.MustParseAddr("203.0.113.1")}}},
		DataCentres: []inventory.DataCentre{{Name: "north", Region: "r", Upstreams: []inventory.Upstream{{
			Name: "u", Service: "desk", Packets: netip.MustParseAddrPort("127.0.0.1:1"),
			Status: netip.MustParseAddrPort("127.0.0.1:2"), Slots: 2, Connections: 9,
		}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.PublishMoves(inventory.Moves{Out: []string{"north"}}); err != nil {
		t.Fatal(err)
	}
	want := `1.4: instances/north@1.2={"region":"r","instances":null} moves@1.4=out:
- north
 services@1.1={"services":[{"name":"desk","number":1,"addresses":["203.0.113.1"]}]} ` +
		`upstreams/north@1.3={"upstreams":[{"name":"u","service":"desk","packets":"127.0.0.1:1","status":"127.0.0.1:2","slots":2,"connections":9}]}`
	if _, got := read(t, p, ""); cmp.Diff(want, got) != "" {
		t.Error(cmp.Diff(want, got))
	}
	if err := p.Put("big", make([]byte, view.MaxValueBytes+1)); err == nil {
		t.Error("a value above the limit of one megabyte was published")
	}
}
