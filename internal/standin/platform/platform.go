// Package platform is a stand-in for the platform's configuration service: it
// publishes values over HTTP that can be read and watched.
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
	// MaxWait bounds the time that a watch may wait.
	MaxWait = 60 * time.Second

	readHeaderTimeout = 5 * time.Second
	maxSnapshots      = 64
)

// Config holds the settings of a platform.
type Config struct {
	// Address is the TCP address to listen on; port 0 takes a free one.
	Address netip.AddrPort
}

// Platform holds the published values.
type Platform struct {
	listener net.Listener
	server   *http.Server

	mutex     sync.Mutex
	version   view.Version
	values    map[string]view.Value
	snapshots []snapshot
	// changed is closed and replaced at each change.
	changed     chan struct{}
	readDelay   time.Duration
	staleWrites int
	down        bool
	readCount   int
}

// snapshot is the state after one write.
type snapshot struct {
	version view.Version
	values  map[string]view.Value
}

// ValueError tells that a value cannot be published.
type ValueError struct {
	Key  string
	Size int
}

// Error returns the key and the size of the value.
func (e *ValueError) Error() string {
	return "value " + e.Key + " is larger than the platform holds"
}

// New returns a platform that listens and holds no values.
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

// Address returns the address that the platform listens on.
func (p *Platform) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Run serves reads until the context ends or Close is called.
func (p *Platform) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.Close() })
	defer stop()
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "platform serve")
	}
	return nil
}

// Close ends all reads.
func (p *Platform) Close() error {
	return errors.CombineErrors(p.server.Close(), p.listener.Close())
}

// Put publishes a value under a new revision.
func (p *Platform) Put(key string, content []byte) error {
	if len(content) > view.MaxValueBytes {
		return &ValueError{Key: key, Size: len(content)}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publish(view.Value{Key: key, Content: content})
	return nil
}

// Delete publishes that a value is gone.
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

// PublishInventory publishes the services and each data centre.
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

// PublishDeclarations publishes the declared classes.
func (p *Platform) PublishDeclarations(d declaration.Declarations) error {
	return p.putYAML(view.KeyDeclarations, d)
}

// PublishMoves publishes which data centres are out.
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

// SetDelay makes each read take at least the given time.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.readDelay = delay
}

// SetStale makes reads see the state before the last writes, zero for the
// newest state.
func (p *Platform) SetStale(writes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.staleWrites = writes
}

// SetDown makes reads fail with status 503.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// Restore brings back the state before the last writes, as from a backup: the
// generation grows by one and revisions start over with one for each value.
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

// Reads returns the number of reads so far, a waiting watch counted as one.
func (p *Platform) Reads() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.readCount
}

// Version returns the newest version.
func (p *Platform) Version() view.Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.version
}

// stateBefore returns the state before the last writes.
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
