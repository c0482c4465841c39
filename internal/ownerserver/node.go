package ownerserver

import (
	"math/rand/v2"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// New returns an instance that listens on the addresses in its settings. It
// does not process anything before Run.
func New(c Config) (*Instance, error) {
	i, err := newInstance(c, nil)
	if err != nil {
		return nil, err
	}
	i.reducer = newNode(&c, i)
	return i, nil
}

// nodeAdapter implements reducer with a node.
type nodeAdapter struct{ *ownerrouter.Node }

func newNode(c *Config, i *Instance) *nodeAdapter {
	s := c.Balancer
	if c.Settings.Limits.MaxFlows > 0 {
		s.MaxFlows = c.Settings.Limits.MaxFlows
	}
	if c.Settings.Limits.ControlBytesPerSecond > 0 {
		s.ControlBytesPerSecond = c.Settings.Limits.ControlBytesPerSecond
	}
	b := balancer.New(balancer.Config{Self: i.id, DataCentre: c.Settings.DataCentre, Settings: s})
	return &nodeAdapter{ownerrouter.New(ownerrouter.Config{
		Name: c.Settings.Name, DataCentre: c.Settings.DataCentre,
		Packets: i.PacketsAddress(), Peers: i.PeersAddress(),
		// An instance has no persistent state, so the start time serves as the
		// incarnation.
		Incarnation: uint64(time.Now().UnixNano()), Seed: rand.Uint64(),
		Bootstrap: c.Bootstrap, Members: c.Members, Policy: b,
	})}
}

// Dump returns the node.Dump of the node.
func (n *nodeAdapter) Dump() any { return n.Node.Dump() }

// Explain returns the balancer.Explanation of a flow.
func (n *nodeAdapter) Explain(key flow.Key) any { return n.Node.Explain(key) }
