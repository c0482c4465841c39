package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/fake/platform"
	"github.com/chervilhaven/chervilhaven/internal/ownerserver"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Parameters of the fleets that run on the loopback interface.
const (
	// loopbackWarmUp is the time from the start of the instances to the
	// measurement, loopbackPeriod the time over which an idle fleet is measured,
	// loopbackPoll the time between two checks for a published change.
	loopbackDataCentres = 4
	loopbackWarmUp      = 8 * time.Second
	loopbackPeriod      = 10 * time.Second
	loopbackPoll        = 100 * time.Millisecond
	propagationLimit    = 30 * time.Second
	controlMetric       = "chervilhaven_control_bytes_total"
)

// PropagationTimeoutError reports that a change did not reach all instances in
// time.
type PropagationTimeoutError struct{ Instances int }

func (e *PropagationTimeoutError) Error() string {
	return fmt.Sprintf("change did not reach all %d instances within %s", e.Instances, propagationLimit)
}

// loopbackFleet runs instances in this process, connected by real sockets on
// the loopback interface.
type loopbackFleet struct {
	platform       *platform.Platform
	instances      []*ownerserver.Server
	dataCentreList []inventory.DataCentre
	cancel         context.CancelFunc
	running        sync.WaitGroup
}

// loopback measures whole instances, including their sockets and RPCs.
func loopback() ([]Slope, error) {
	var cpu, sent, memory, propagation []Point
	for _, count := range []int{8, 40, 100, 200} {
		c, err := loopbackCosts(count)
		if err != nil {
			return nil, err
		}
		n := float64(count)
		cpu = append(cpu, Point{n, c.cpu})
		sent = append(sent, Point{n, c.sent})
		memory = append(memory, Point{n, c.memory})
		propagation = append(propagation, Point{n, c.propagation})
	}
	return []Slope{
		fit("idle instance on loopback, processor", "us/s", "member", cpu),
		fit("idle instance on loopback, control bytes sent and received", "bytes/s", "member", sent),
		fit("idle instance on loopback, heap", "bytes", "member", memory),
		fit("change in force everywhere on loopback", "ms", "member", propagation),
	}, nil
}

// loopbackCost is what one instance of the fleet needs: CPU time in
// microseconds per second, control bytes per second and bytes of heap. The
// field propagation is the time in milliseconds until a change has reached the
// whole fleet.
type loopbackCost struct{ cpu, sent, memory, propagation float64 }

func loopbackCosts(count int) (loopbackCost, error) {
	before := heapInUse()
	f, err := startLoopback(count)
	if err != nil {
		return loopbackCost{}, err
	}
	defer f.stop()
	time.Sleep(loopbackWarmUp)
	n := float64(count)
	c := loopbackCost{memory: (heapInUse() - before) / n}
	sent, spent := f.controlBytes(), cpuTime()
	time.Sleep(loopbackPeriod)
	seconds := loopbackPeriod.Seconds()
	c.cpu = float64((cpuTime() - spent).Microseconds()) / n / seconds
	c.sent = (f.controlBytes() - sent) / n / seconds
	took, err := f.measurePropagation()
	c.propagation = milliseconds(took)
	return c, err
}

func startLoopback(count int) (*loopbackFleet, error) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	p, err := platform.New(platform.Config{Address: anyPort})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &loopbackFleet{platform: p, cancel: cancel}
	f.run(func() { _ = p.Run(ctx) })
	fleetSize := fleetSize{dataCentres: loopbackDataCentres, services: 2, upstreams: 18}
	for dataCentre := range loopbackDataCentres {
		f.dataCentreList = append(f.dataCentreList, inventory.DataCentre{
			Name: dataCentreName(dataCentre), Region: "region-0", Upstreams: fleetSize.upstreamList(dataCentre, 0),
		})
		f.useClosedPorts(dataCentre)
	}
	for i := range count {
		dataCentre := &f.dataCentreList[i%loopbackDataCentres]
		name := fmt.Sprintf("%s-i%d", dataCentre.Name, i)
		one, err := ownerserver.New(ownerserver.Config{Settings: ownerserver.Settings{
			Name: name, DataCentre: dataCentre.Name, Packets: anyPort, Peers: anyPort, Inspect: anyPort,
			Platform: []netip.AddrPort{p.Address()},
		}})
		if err != nil {
			f.stop()
			return nil, err
		}
		f.instances = append(f.instances, one)
		dataCentre.Instances = append(dataCentre.Instances, inventory.Instance{
			Name: name, Packets: one.PacketsAddress(), Peers: one.PeersAddress(),
		})
	}
	if err := p.PublishInventory(inventory.Inventory{Services: fleetSize.serviceList(), DataCentres: f.dataCentreList}); err != nil {
		f.stop()
		return nil, err
	}
	for _, one := range f.instances {
		f.run(func() { _ = one.Run(ctx) })
	}
	return f, nil
}

// useClosedPorts gives the upstreams addresses on which nothing listens, so
// that each status poll costs a refused connection.
func (f *loopbackFleet) useClosedPorts(dataCentre int) {
	for i := range f.dataCentreList[dataCentre].Upstreams {
		u := &f.dataCentreList[dataCentre].Upstreams[i]
		u.Packets = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 200, byte(dataCentre), byte(i)}), packetsPort)
		u.Status = u.Packets
	}
}

func (f *loopbackFleet) run(work func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		work()
	}()
}

func (f *loopbackFleet) stop() {
	f.cancel()
	f.running.Wait()
	for _, i := range f.instances {
		i.Close()
	}
	_ = f.platform.Close()
}

// controlBytes returns the sum of the control bytes that all instances report
// in their metrics.
func (f *loopbackFleet) controlBytes() float64 {
	total := 0.0
	for _, i := range f.instances {
		response, err := http.Get("http://" + i.InspectAddress().String() + "/metrics") //nolint:noctx // the server runs in this process
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			name, number, _ := strings.Cut(lines.Text(), " ")
			if strings.HasPrefix(name, controlMetric) {
				n, _ := strconv.ParseFloat(number, 64)
				total += n
			}
		}
		_ = response.Body.Close()
	}
	return total
}

// measurePropagation publishes one changed value and returns the time until all
// instances apply it.
func (f *loopbackFleet) measurePropagation() (time.Duration, error) {
	f.dataCentreList[0].Upstreams[0].State = inventory.UpstreamDraining
	start := time.Now()
	if err := f.platform.PublishUpstreams(f.dataCentreList[0]); err != nil {
		return 0, err
	}
	// PublishInventory wrote one value for the services and two for each data
	// centre. This change is the write after them.
	want := view.Version{Generation: 1, Revision: uint64(2*loopbackDataCentres + 2)}
	waiting := f.instances
	for time.Since(start) < propagationLimit {
		var behind []*ownerserver.Server
		for _, i := range waiting {
			if v, err := viewVersion(i.InspectAddress()); err != nil || v.Compare(want) < 0 {
				behind = append(behind, i)
			}
		}
		if waiting = behind; len(waiting) == 0 {
			return time.Since(start), nil
		}
		time.Sleep(loopbackPoll)
	}
	return 0, &PropagationTimeoutError{Instances: len(f.instances)}
}

// viewVersion asks an instance for the version of its current view.
func viewVersion(address netip.AddrPort) (view.Version, error) {
	client := peerv1connect.NewInspectServiceClient(http.DefaultClient, "http://"+address.String())
	response, err := client.Dump(context.Background(), connect.NewRequest(&peerv1.DumpRequest{}))
	if err != nil {
		return view.Version{}, err
	}
	var dump struct {
		View struct {
			Version view.Version `json:"version"`
		} `json:"view"`
	}
	err = json.Unmarshal(response.Msg.GetJson(), &dump)
	return dump.View.Version, errors.Wrap(err, "dump")
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
