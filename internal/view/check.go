package view

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// checker validates a list of entries and keeps the first error.
type checker struct {
	list  string
	index int
	names map[string]bool
	err   error
}

func newChecker(list string) *checker {
	return &checker{list: list, names: make(map[string]bool)}
}

// require records an error for the field of the current entry if ok is false,
// unless an earlier error is recorded.
func (c *checker) require(ok bool, field, value, expected string) {
	if ok || c.err != nil {
		return
	}
	path := fmt.Sprintf("%s[%d].%s", c.list, c.index, field)
	c.err = &FieldError{Field: path, Value: value, Expected: expected}
}

func (c *checker) name(name string) {
	c.require(name != "" && IDFromName(name) != 0, "name", name, "a name")
	c.require(!c.names[name], "name", name, "a unique name")
	c.names[name] = true
}

func (c *checker) address(field string, a netip.AddrPort) {
	c.require(a.IsValid() && a.Port() != 0, field, a.String(), "IP:PORT")
}

func (c *checker) number(field string, n, limit int) {
	c.require(n > 0 && n <= limit, field, strconv.Itoa(n), fmt.Sprintf("1 to %d", limit))
}

func checkServices(list []inventory.Service) error {
	c := newChecker("services")
	numbers := make(map[uint32]bool, len(list))
	addresses := make(map[netip.Addr]bool, len(list))
	for i, s := range list {
		c.index = i
		c.name(s.Name)
		number := strconv.FormatUint(uint64(s.Number), 10)
		c.require(s.Number > 0 && s.Number <= inventory.MaxNumber, "number", number, "1 to 16777215")
		c.require(!numbers[s.Number], "number", number, "a unique number")
		numbers[s.Number] = true
		for _, a := range s.Addresses {
			c.require(a.IsValid(), "addresses", a.String(), "an IP address")
			c.require(!addresses[a], "addresses", a.String(), "a unique address")
			addresses[a] = true
		}
	}
	return c.err
}

func checkInstances(list []inventory.Instance) error {
	c := newChecker("instances")
	for i, n := range list {
		c.index = i
		c.name(n.Name)
		c.address("packets", n.Packets)
		c.address("peers", n.Peers)
		switch n.State {
		case "", inventory.InstanceLive, inventory.InstanceLeaving:
		default:
			c.require(false, "state", string(n.State), "live or leaving")
		}
	}
	return c.err
}

func checkUpstreams(list []inventory.Upstream) error {
	c := newChecker("upstreams")
	for i, u := range list {
		c.index = i
		c.name(u.Name)
		c.require(u.Service != "", "service", u.Service, "a service name")
		c.address("packets", u.Packets)
		c.address("status", u.Status)
		c.number("slots", u.Slots, inventory.MaxSlots)
		c.number("connections", u.Connections, inventory.MaxConnections)
		switch u.State {
		case "", inventory.UpstreamActive, inventory.UpstreamDraining:
		default:
			c.require(false, "state", string(u.State), "active or draining")
		}
	}
	return c.err
}
