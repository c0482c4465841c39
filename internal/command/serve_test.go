package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/fake/platform"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// freeTCP returns a loopback TCP address that was free when it was probed.
func freeTCP(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// unreachableAddress is an address without a listener.
const unreachableAddress = "127.0.0.1:1"

// writeSettings writes the settings file of an instance and returns its path.
func writeSettings(t *testing.T, inspect, platform string) string {
	t.Helper()
	content := fmt.Sprintf(
		"name: office-a\ndata-centre: office\npackets: %s\npeers: %s\ninspect: %s\nplatform: [%s]\nfabric: [127.0.0.1:2]\n",
		freeUDP(t), freeTCP(t), inspect, platform)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startPlatform starts a platform that publishes one upstream in the data
// centre of the settings, and returns its address.
func startPlatform(t *testing.T) string {
	t.Helper()
	p, err := platform.New(platform.Config{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.Run(t.Context()) }()
	upstream := inventory.Upstream{
		Name: "ledger-1", Service: "lot-ledger", Packets: netip.MustParseAddrPort("127.0.0.1:3"),
		Status: netip.MustParseAddrPort("127.0.0.1:4"), Slots: 2, Connections: 2000,
	}
	err = errors.Join(p.PublishInventory(inventory.Inventory{
		Services:    []inventory.Service{{Name: "lot-ledger", Number: 1, Addresses: []netip.Addr{netip.MustParseAddr("192.0.2.10")}}},
		DataCentres: []inventory.DataCentre{{Name: "office", Region: "atacama", Upstreams: []inventory.Upstream{upstream}}},
	}), p.PublishDeclarations(declaration.Declarations{Classes: []declaration.Class{{
		Name: "tickets", Service: "lot-ledger", Port: 7001, Target: declaration.Target{AnswerWithin: time.Second, Share: 0.99},
	}}}))
	if err != nil {
		t.Fatal(err)
	}
	return p.Address().String()
}

// serveProcess is a running serve subcommand.
type serveProcess struct {
	inspect  string
	stop     context.CancelFunc
	exitCode chan int
	log      bytes.Buffer
}

// startServe runs serve and waits until the instance responds to dump.
func startServe(t *testing.T, platform string) (*serveProcess, ownerrouter.Dump) {
	t.Helper()
	s := &serveProcess{inspect: freeTCP(t), exitCode: make(chan int, 1)}
	path := writeSettings(t, s.inspect, platform)
	ctx, stop := context.WithCancel(t.Context())
	s.stop = stop
	go func() {
		s.exitCode <- run(ctx, "1.2.3", []string{"serve", "--settings", path}, output{out: &s.log, err: &s.log})
	}()
	for {
		if response := execute(t, "dump", "--address", s.inspect, "--json"); response.code == exitOK {
			var state ownerrouter.Dump
			if err := json.Unmarshal([]byte(response.out), &state); err != nil {
				t.Fatal(err)
			}
			return s, state
		}
		select {
		case code := <-s.exitCode:
			t.Fatalf("serve ended with %d: %s", code, s.log.String())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestServeRespondsToDumpAndStops(t *testing.T) {
	s, state := startServe(t, unreachableAddress)
	if diff := cmp.Diff([]string{"office-a", "office"}, []string{state.Name, state.DataCentre}); diff != "" {
		t.Errorf("dump (-want +got):\n%s", diff)
	}
	if served := scrape(t, s.inspect); !strings.Contains(served, "\nchervilhaven_serving 0\n") {
		t.Errorf("gauge chervilhaven_serving is not 0 on an instance that is not serving:\n%s", served)
	}
	s.stop()
	if code := <-s.exitCode; code != exitOK {
		t.Errorf("serve exits with %d: %s", code, s.log.String())
	}
	for _, event := range []string{"started", "stopping", "stopped"} {
		if !strings.Contains(s.log.String(), "event="+event) {
			t.Errorf("no event %s in the log:\n%s", event, s.log.String())
		}
	}
}

func scrape(t *testing.T, inspect string) string {
	t.Helper()
	response, err := http.Get("http://" + inspect + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	served, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(served)
}

func TestServeExportsDocumentedMetrics(t *testing.T) {
	s, _ := startServe(t, startPlatform(t))
	checkDocumentedMetrics(t, s.inspect)
	s.stop()
	if code := <-s.exitCode; code != exitOK {
		t.Errorf("serve exits with %d: %s", code, s.log.String())
	}
}

// checkDocumentedMetrics verifies that an instance that owns an upstream exports
// every metric that docs/OPERATIONS.md mentions.
func checkDocumentedMetrics(t *testing.T, inspect string) {
	t.Helper()
	served := scrape(t, inspect)
	for n := 0; n < 500 && !strings.Contains(served, "\nchervilhaven_upstream_limit{"); n++ {
		time.Sleep(20 * time.Millisecond)
		served = scrape(t, inspect)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`chervilhaven_[a-z_]+(\{reason="[a-z-]+"\})?`).FindAllString(string(page), -1)
	if len(named) == 0 {
		t.Error("docs/OPERATIONS.md mentions no metric")
	}
	for _, name := range named {
		// internal/tokenserver checks the metrics of chervilhaven-platform.
		if strings.HasPrefix(name, "chervilhaven_edge_") {
			continue
		}
		if !strings.Contains(served, "\n"+name) {
			t.Errorf("documented metric %s is not exported", name)
		}
	}
}

func TestServeReportsAnAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := execute(t, "serve", "--settings", writeSettings(t, l.Addr().String(), unreachableAddress))
	if got.code != exitFailed || !strings.Contains(got.err, l.Addr().String()) {
		t.Errorf("exits with %d: %s", got.code, got.err)
	}
}
