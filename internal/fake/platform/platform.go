// Package platform simulates the platform's configuration service. It publishes
// versioned values over HTTP that clients read once or watch with long polling.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const (
	// MaxWait is the longest time that a watch waits for a change.
	MaxWait = 60 * time.Second

	readHeaderTimeout = 5 * time.Second
	// maxSnapshots is the number of past states kept for SetStale and Restore.
	maxSnapshots = 64
)

// Config configures the simulated platform.
type Config struct {
	// Address is the TCP address to listen on; port 0 selects a free port.
	Address netip.AddrPort
}

// Platform is a simulated configuration service. Its methods are safe for
// concurrent use.
type Platform struct {
	listener net.Listener
	server   *http.Server

	mutex     sync.Mutex
	version   view.Version
	values    map[string]view.Value
	snapshots []snapshot
	// changed is closed and replaced at each change, to wake the waiting
	// watches.
	changed     chan struct{}
	readDelay   time.Duration
	staleWrites int
	down        bool
	readCount   int
}

// snapshot is the state after a write. The map of values is never modified
// afterwards.
type snapshot struct {
	version view.Version
	values  map[string]view.Value
}

// ValueError reports a value that exceeds the size limit, view.MaxValueBytes.
type ValueError struct {
	Key  string
	Size int
}

// Error returns a message with the key of the value.
func (e *ValueError) Error() string {
	return "value " + e.Key + " exceeds the size limit of the platform"
}

// New returns a platform that listens on its address and holds no values. Run
// starts to serve.
func New(c Config) (*Platform, error) {
	listener, err := net.Listen("tcp", c.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "platform listen")
	}
	p := &Platform{
		listener: listener, version: view.Version{Generation: 1},
		values: make(map[string]view.Value), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values", p.handleValues)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return p, nil
}

// Address returns the TCP address of the listener.
func (p *Platform) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Run serves reads until the context is done or Close is called.
func (p *Platform) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.Close() })
	defer stop()
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "platform serve")
	}
	return nil
}

// Close stops the server and aborts all reads in progress.
func (p *Platform) Close() error {
	return errors.CombineErrors(p.server.Close(), p.listener.Close())
}

// Put publishes a value and advances the revision. It returns a *ValueError if
// the content is too large.
func (p *Platform) Put(key string, content []byte) error {
	if len(content) > view.MaxValueBytes {
		return &ValueError{Key: key, Size: len(content)}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publish(view.Value{Key: key, Content: content})
	return nil
}

// Delete replaces a value by a deletion marker and advances the revision.
func (p *Platform) Delete(key string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publish(view.Value{Key: key, Deleted: true})
}

func (p *Platform) publish(value view.Value) {
	p.version.Revision++
	value.Version = p.version
	next := make(map[string]view.Value, len(p.values)+1)
	for k, v := range p.values {
		next[k] = v
	}
	next[value.Key] = value
	p.values = next
	p.snapshots = append(p.snapshots, snapshot{version: p.version, values: next})
	if len(p.snapshots) > maxSnapshots {
		p.snapshots = slices.Delete(p.snapshots, 0, 1)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// PublishInventory publishes the services and then the instances and upstreams
// of each data centre.
func (p *Platform) PublishInventory(i inventory.Inventory) error {
	err := p.putJSON(view.KeyServices, struct {
		Services []inventory.Service `json:"services"`
	}{i.Services})
	for _, d := range i.DataCentres {
		err = errors.CombineErrors(err, p.PublishDataCentre(d))
	}
	return err
}

// PublishDataCentre publishes the instances and the upstreams of a data centre.
func (p *Platform) PublishDataCentre(d inventory.DataCentre) error {
	return errors.CombineErrors(p.PublishInstances(d), p.PublishUpstreams(d))
}

// PublishInstances publishes the region and the instances of a data centre.
func (p *Platform) PublishInstances(d inventory.DataCentre) error {
	return p.putJSON(view.PrefixInstances+d.Name, struct {
		Region    string               `json:"region"`
		Instances []inventory.Instance `json:"instances"`
	}{d.Region, d.Instances})
}

// PublishUpstreams publishes the upstreams of a data centre.
func (p *Platform) PublishUpstreams(d inventory.DataCentre) error {
	return p.putJSON(view.PrefixUpstreams+d.Name, struct {
		Upstreams []inventory.Upstream `json:"upstreams"`
	}{d.Upstreams})
}

// PublishDeclarations publishes the declared classes and their targets.
func (p *Platform) PublishDeclarations(d declaration.Declarations) error {
	return p.putYAML(view.KeyDeclarations, d)
}

// PublishMoves publishes the list of data centres taken out of service.
func (p *Platform) PublishMoves(m inventory.Moves) error {
	return p.putYAML(view.KeyMoves, m)
}

func (p *Platform) putJSON(key string, content any) error {
	b, err := json.Marshal(content)
	if err != nil {
		return errors.Wrapf(err, "publish %s", key)
	}
	return p.Put(key, b)
}

func (p *Platform) putYAML(key string, content any) error {
	b, err := yaml.Marshal(content)
	if err != nil {
		return errors.Wrapf(err, "publish %s", key)
	}
	return p.Put(key, b)
}

// SetDelay delays each read by the given duration.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readDelay = delay
}

// SetStale makes reads return the state before the given number of last writes.
// Zero returns the current state.
func (p *Platform) SetStale(writes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.staleWrites = writes
}

// SetDown sets whether reads, waiting ones included, fail with status 503.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// Restore returns to the state before the given number of last writes, as a
// restore from a backup does. The generation increases by one. Revisions start
// over at one and advance with each restored value.
func (p *Platform) Restore(writes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	restored := p.stateBefore(writes)
	p.version = view.Version{Generation: p.version.Generation + 1}
	p.values = make(map[string]view.Value, len(restored.values))
	for _, value := range sortedByKey(restored.values) {
		p.publish(value)
	}
}

// Reads returns the number of reads so far. A watch counts as one read however
// long it waits.
func (p *Platform) Reads() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.readCount
}

// Version returns the version of the last write.
func (p *Platform) Version() view.Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.version
}

// stateBefore returns the state before the given number of last writes. The
// state is empty if it is older than the kept snapshots.
func (p *Platform) stateBefore(writes int) snapshot {
	if writes <= 0 {
		return snapshot{version: p.version, values: p.values}
	}
	index := len(p.snapshots) - 1 - writes
	if index < 0 {
		return snapshot{version: view.Version{Generation: p.version.Generation}}
	}
	return p.snapshots[index]
}

func sortedByKey(values map[string]view.Value) []view.Value {
	list := make([]view.Value, 0, len(values))
	for _, v := range values {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b view.Value) int { return strings.Compare(a.Key, b.Key) })
	return list
}
