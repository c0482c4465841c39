package balancer

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/rendezvous"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// maxPath is the maximum length of a search path. relay.Header.Visited needs one
// bit for each position.
const maxPath = rendezvous.ListLength + maxPreviousTables

// searchPath lists the upstreams to search for a flow: those of its preference
// list, then its first choices under previous placement tables.
type searchPath struct {
	targets [maxPath]*target
	length  int
}

// firstChoice returns the first choice of a flow, or nil if the service has no
// upstreams.
func (s *service) firstChoice(id flow.ID) *target {
	l := s.table.List(id)
	if l.Len() == 0 {
		return nil
	}
	return s.table.Item(l.At(0))
}

// searchPath returns the search path of a flow. The result is valid until the
// next call.
func (b *Balancer) searchPath(s *service, id flow.ID) *searchPath {
	p := &b.scratch
	p.length = 0
	l := s.table.List(id)
	for position := range l.Len() {
		p.add(s.table.Item(l.At(position)))
	}
	for _, e := range s.previousTables {
		earlier := e.table.List(id)
		if earlier.Len() == 0 {
			continue
		}
		// Upstreams that have been removed since cannot hold the flow.
		if t, ok := b.targets[e.table.Item(earlier.At(0)).ID]; ok {
			p.add(t)
		}
	}
	return p
}

func (p *searchPath) add(t *target) {
	if p.index(t.ID) < 0 {
		p.targets[p.length] = t
		p.length++
	}
}

// index returns the position of an upstream in the path, or -1.
func (p *searchPath) index(id view.ID) int {
	for i := range p.length {
		if p.targets[i].ID == id {
			return i
		}
	}
	return -1
}

// fingerprint returns a non-zero hash of the path.
func (p *searchPath) fingerprint() uint16 {
	var sum uint64
	for i := range p.length {
		sum = rendezvous.Score(sum, p.targets[i].ID)
	}
	return uint16(sum) | 1
}

// listChangedWithin reports whether a flow's preference list changed within the
// last period. If so, packets and pointers may have been routed by the previous
// list.
func (b *Balancer) listChangedWithin(s *service, id flow.ID, period time.Duration) bool {
	for _, e := range s.previousTables {
		if b.now.Sub(e.replacedAt) > period {
			break
		}
		if !sameList(s.table, e.table, id) {
			return true
		}
	}
	return false
}

func sameList(a, b *rendezvous.Table[*target], id flow.ID) bool {
	x, y := a.List(id), b.List(id)
	if x.Len() != y.Len() {
		return false
	}
	for position := range x.Len() {
		if a.Item(x.At(position)).ID != b.Item(y.At(position)).ID {
			return false
		}
	}
	return true
}
