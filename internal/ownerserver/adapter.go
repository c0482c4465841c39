package ownerserver

import (
	"math/rand/v2"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// New returns a server that listens on the addresses in its settings. It does
// not process anything before Run.
func New(c Config) (*Server, error) {
	i, err := newServer(c, nil)
	if err != nil {
		return nil, err
	}
	i.reducer = newRouter(&c, i)
	return i, nil
}

// routerAdapter implements reducer with a router.
type routerAdapter struct{ *ownerrouter.Router }

func newRouter(c *Config, i *Server) *routerAdapter {
	s := c.Balancer
	if c.Settings.Limits.MaxFlows > 0 {
		s.MaxFlows = c.Settings.Limits.MaxFlows
	}
	if c.Settings.Limits.ControlBytesPerSecond > 0 {
		s.ControlBytesPerSecond = c.Settings.Limits.ControlBytesPerSecond
	}
	b := balancer.New(balancer.Config{Self: i.id, DataCentre: c.Settings.DataCentre, Settings: s})
	return &routerAdapter{ownerrouter.New(ownerrouter.Config{
		Name: c.Settings.Name, DataCentre: c.Settings.DataCentre,
		Packets: i.PacketsAddress(), Peers: i.PeersAddress(),
		// An instance has no persistent state, so the start time serves as the
		// incarnation.
		Incarnation: uint64(time.Now().UnixNano()), Seed: rand.Uint64(),
		Bootstrap: c.Bootstrap, Members: c.Members, Policy: b,
	})}
}

// Dump returns the ownerrouter.Dump of the router.
func (n *routerAdapter) Dump() any { return n.Router.Dump() }

// Explain returns the balancer.Explanation of a flow.
func (n *routerAdapter) Explain(key flow.Key) any { return n.Router.Explain(key) }
