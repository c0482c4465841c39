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
	s, err := newServer(c, nil)
	if err != nil {
		return nil, err
	}
	s.router = newRouter(&c, s)
	return s, nil
}

// routerAdapter adapts the state machine of package ownerrouter to the interface
// router.
type routerAdapter struct{ *ownerrouter.Router }

func newRouter(c *Config, s *Server) *routerAdapter {
	settings := c.Balancer
	if c.Settings.Limits.MaxFlows > 0 {
		settings.MaxFlows = c.Settings.Limits.MaxFlows
	}
	if c.Settings.Limits.ControlBytesPerSecond > 0 {
		settings.ControlBytesPerSecond = c.Settings.Limits.ControlBytesPerSecond
	}
	b := balancer.New(balancer.Config{Self: s.id, DataCentre: c.Settings.DataCentre, Settings: settings})
	return &routerAdapter{ownerrouter.New(ownerrouter.Config{
		Name: c.Settings.Name, DataCentre: c.Settings.DataCentre,
		Packets: s.PacketsAddress(), Peers: s.PeersAddress(),
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
