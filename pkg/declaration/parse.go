package declaration

import (
	"fmt"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/yamlfile"
)

// Limits on declarations.
const (
	// MaxBytes is the maximum size of a declarations file.
	MaxBytes = yamlfile.MaxBytes
	// MaxWithin is the maximum of answer-within and finish-within.
	MaxWithin = 24 * time.Hour
	maxPort   = 1<<16 - 1
)

// Parse parses a declarations file. If the error is not nil, it is a
// yamlfile.Faults with the faults of the file. The result depends only on the
// arguments, so all instances accept or reject the same content.
func Parse(name string, content []byte) (Declarations, error) {
	return parse(name, content, nil)
}

// ParseWithServices is like Parse but also rejects classes of services that are not in
// the given list of service names.
func ParseWithServices(name string, content []byte, services []string) (Declarations, error) {
	if services == nil {
		services = []string{}
	}
	return parse(name, content, services)
}

// servicePort identifies a class by its traffic; only one class may use it.
type servicePort struct {
	service string
	port    uint16
}

// String formats the pair for use in faults.
func (s servicePort) String() string {
	return fmt.Sprintf("port %d of %s", s.port, s.service)
}

// parser holds the state of parsing one file: the known service names and the
// values that must be unique.
type parser struct {
	// services lists the names of the existing services, or is nil if they are
	// unknown.
	services []string
	names    yamlfile.UniqueChecker[string]
	ports    yamlfile.UniqueChecker[servicePort]
}

func parse(name string, content []byte, services []string) (Declarations, error) {
	r := &parser{services: services}
	return yamlfile.Read(name, content, MaxBytes, func(m *yamlfile.Map) Declarations {
		list := m.Get("classes")
		classes := yamlfile.List(list, r.class)
		if classes != nil && len(classes) == 0 {
			list.AddFault(yamlfile.OutOfRange, "found an empty list", "one class or more")
		}
		return Declarations{Classes: classes}
	})
}

func (r *parser) class(v yamlfile.Value) Class {
	m := v.Map()
	name, service, port := m.Get("name"), m.Get("service"), m.Get("port")
	c := Class{
		Name:    name.Name(),
		Service: service.Name(),
		Port:    uint16(port.Int(1, maxPort)),
		Target:  target(m.Get("target")),
	}
	r.names.Add(name, c.Name)
	if c.Service != "" && c.Port != 0 {
		r.ports.Add(port, servicePort{service: c.Service, port: c.Port})
	}
	if r.services != nil && !slices.Contains(r.services, c.Service) {
		service.AddUnresolved(c.Service, "a service of the inventory")
	}
	return c
}

func target(v yamlfile.Value) Target {
	m := v.Map()
	t := Target{
		AnswerWithin: yamlfile.Optional(m, "answer-within", bound),
		FinishWithin: yamlfile.Optional(m, "finish-within", bound),
		Once:         yamlfile.Optional(m, "once", yamlfile.Value.Bool),
		Whole:        yamlfile.Optional(m, "whole", yamlfile.Value.Bool),
	}
	hasBound := m.Has("answer-within") || m.Has("finish-within")
	if hasBound || m.Has("share") {
		t.Share = m.Get("share").Share()
	}
	if m.IsValid() && !hasBound {
		v.AddFault(yamlfile.OutOfRange, "found no bound", "answer-within, finish-within or both")
	}
	if t.AnswerWithin > 0 && t.FinishWithin > 0 && t.FinishWithin < t.AnswerWithin {
		m.Get("finish-within").AddFault(yamlfile.OutOfRange, "found "+t.FinishWithin.String(),
			fmt.Sprintf("at least answer-within, %s", t.AnswerWithin))
	}
	return t
}

func bound(v yamlfile.Value) time.Duration {
	return v.Duration(MaxWithin)
}
