package catalog

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Severity says what follows from a Finding.
type Severity uint8

// Severities.
const (
	// Warning is what is accepted and probably not meant.
	Warning Severity = iota
	// Fault is what cannot work.
	Fault
)

// String returns the name of the severity.
func (s Severity) String() string {
	if s == Fault {
		return "error"
	}
	return "warning"
}

// Finding is what a check has found about a configuration.
type Finding struct {
	Severity Severity
	// Place is the part of the configuration, such as "routes[2]".
	Place string
	Text  string
}

// Check looks for what is wrong with a configuration before it is published: routes that
// no packet can match, services that no flow can reach, and limits that contradict each
// other.
func (c *Configuration) Check() []Finding {
	var list findings
	c.checkServices(&list)
	c.checkRoutes(&list)
	if c.IdleTimeout == 0 && len(c.Routes) > 0 {
		list.add(Warning, "limits", "the idle timeout is 0: work in flows that stay open is not measured")
	}
	return list
}

type findings []Finding

func (l *findings) add(s Severity, place, format string, args ...any) {
	*l = append(*l, Finding{s, place, fmt.Sprintf(format, args...)})
}

func (c *Configuration) checkServices(list *findings) {
	first, routed := make(map[string]int), make(map[string]bool)
	for _, r := range c.Routes {
		routed[r.Service] = true
	}
	for n, s := range c.Services {
		place := fmt.Sprintf("services[%d]", n)
		if m, ok := first[s.Name]; ok {
			list.add(Fault, place, "service %q is services[%d], too", s.Name, m)
			continue
		}
		first[s.Name] = n
		if s.Name == "" {
			list.add(Fault, place, "the name is missing")
		}
		if !routed[s.Name] {
			list.add(Warning, place, "no route leads to service %q", s.Name)
		}
		if s.ColdPerSecond > 0 && s.ColdFor == 0 {
			list.add(Warning, place, "a rate of cold upstreams without a time for which they are cold has no effect")
		}
	}
}

func (c *Configuration) checkRoutes(list *findings) {
	declared := make(map[string]bool)
	for _, s := range c.Services {
		declared[s.Name] = true
	}
	last := make(map[netip.AddrPort]int)
	for n, r := range c.Routes {
		last[r.Address] = n
	}
	for n := range c.Routes {
		r, place := &c.Routes[n], fmt.Sprintf("routes[%d]", n)
		if m := last[r.Address]; m != n {
			list.add(Fault, place, "never matches: routes[%d] has the same address %s", m, r.Address)
		}
		if a := r.Address.Addr(); !a.Is4() || a.IsUnspecified() || a.IsMulticast() || r.Address.Port() == 0 {
			list.add(Fault, place, "never matches: no packet is sent to %s", r.Address)
		}
		if !declared[r.Service] {
			list.add(Fault, place, "service %q is not declared", r.Service)
		}
		c.checkLimits(list, r, place)
	}
}

// checkLimits checks the times of a route against each other.
func (c *Configuration) checkLimits(list *findings, r *Route, place string) {
	switch {
	case r.Deadline == 0:
		list.add(Fault, place, "the deadline is 0: a flow that has to wait is given up at once")
	case r.Target == 0:
		list.add(Warning, place, "the target is 0: each flow that waits counts as late")
	case r.Target > r.Deadline:
		list.add(Fault, place, "the target %s is above the deadline %s", r.Target, r.Deadline)
	}
	if c.IdleTimeout > 0 && c.IdleTimeout < r.Deadline {
		list.add(Fault, place, "the idle timeout %s is below the deadline %s: a flow may be discarded while its answer is awaited", c.IdleTimeout, r.Deadline)
	}
}

// Difference is a part of a configuration that another one has not, or has otherwise.
// Before is empty for what is new, After for what is gone.
type Difference struct {
	Place         string
	Before, After string
}

// Compare returns what changes when a configuration takes the place of another, in a fixed
// order.
func (c *Configuration) Compare(before *Configuration) []Difference {
	var list []Difference
	note := func(place, from, to string) {
		if from != to {
			list = append(list, Difference{place, from, to})
		}
	}
	note("version", fmt.Sprint(before.Version), fmt.Sprint(c.Version))
	note("idle timeout", before.IdleTimeout.String(), c.IdleTimeout.String())
	from, to := describeServices(before), describeServices(c)
	for _, name := range sortedKeys(from, to) {
		note("service "+name, from[name], to[name])
	}
	from, to = describeRoutes(before), describeRoutes(c)
	for _, address := range sortedKeys(from, to) {
		note("route "+address, from[address], to[address])
	}
	return list
}

func describeServices(c *Configuration) map[string]string {
	m := make(map[string]string, len(c.Services))
	for _, s := range c.Services {
		m[s.Name] = fmt.Sprintf("cold for %s, %g a second", s.ColdFor, s.ColdPerSecond)
	}
	return m
}

func describeRoutes(c *Configuration) map[string]string {
	m := make(map[string]string, len(c.Routes))
	for _, r := range c.Routes {
		m[r.Address.String()] = fmt.Sprintf("service %s, %s, target %s, deadline %s, priority %d",
			r.Service, r.Work, r.Target.Round(time.Millisecond), r.Deadline.Round(time.Millisecond), r.Priority)
	}
	return m
}

// sortedKeys returns the keys of both maps in ascending order.
func sortedKeys(a, b map[string]string) []string {
	var keys []string
	for _, m := range []map[string]string{a, b} {
		for k := range m {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return slices.Compact(keys)
}
