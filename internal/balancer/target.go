package balancer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/rendezvous"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// target is an upstream with its routing state.
type target struct {
	*view.Upstream
	group *group
	// owner is cached; it is valid while epoch equals the epoch of the group.
	owner Member
	epoch uint64
	// local is the state kept for the upstream if this instance owns it or is
	// handing it over, otherwise nil.
	local *ownedUpstream
}

// group holds the live instances of one data centre, the candidate owners of
// its upstreams.
type group struct {
	name    string
	members []Member
	// eligible lists the identifiers of the members that are not leaving.
	eligible []view.ID
	epoch    uint64
}

// service adds the placement tables and load figures to a service of the view.
type service struct {
	*view.Service
	table          *rendezvous.Table[*target]
	previousTables []previousTable
	loads          map[view.ID]relay.Load
	// open and upstreams are the sums over loads.
	open           uint64
	upstreams      uint64
	ownedUpstreams []*ownedUpstream
	// ownLoad is the load on the upstreams of the service that this instance
	// owned at the last tick.
	ownLoad relay.Load
}

// previousTable is a placement table and the time at which it was replaced.
type previousTable struct {
	table      *rendezvous.Table[*target]
	replacedAt time.Time
}

// setLoad stores the load of the service that another instance reports.
func (s *service) setLoad(from view.ID, load relay.Load) {
	old, ok := s.loads[from]
	if ok && old == load {
		return
	}
	if load.Upstreams == 0 && !ok {
		return
	}
	s.open += uint64(load.OpenFlows) - uint64(old.OpenFlows)
	s.upstreams += uint64(load.Upstreams) - uint64(old.Upstreams)
	s.loads[from] = load
}

// updateOwnLoad recomputes the load on the upstreams that this instance owns.
func (s *service) updateOwnLoad() {
	var l relay.Load
	for _, o := range s.ownedUpstreams {
		if o.releasedTo != 0 {
			continue
		}
		l.Upstreams++
		l.OpenFlows += uint32(o.open())
	}
	s.ownLoad = l
}

// meanOpen returns the mean number of open flows per upstream of the service,
// including the flow about to be opened.
func (s *service) meanOpen() float64 {
	open := s.open + uint64(s.ownLoad.OpenFlows) + 1
	upstreams := s.upstreams + uint64(s.ownLoad.Upstreams)
	return float64(open) / float64(upstreams)
}

// dropLoads removes the loads reported by instances that are not live.
func (s *service) dropLoads(live map[view.ID]bool) {
	for id := range s.loads {
		if !live[id] {
			s.setLoad(id, relay.Load{})
			delete(s.loads, id)
		}
	}
}

// class returns the index of the class of a flow in s.Classes, or -1.
func (s *service) class(k flow.Key) int {
	return slices.IndexFunc(s.Classes, func(c *view.Class) bool { return c.Port == k.Destination.Port() })
}

// updateView rebuilds the routing state for a new view.
func (b *Balancer) updateView(v *view.View) {
	b.view = v
	old := b.servicesByNumber
	b.targets = make(map[view.ID]*target, len(b.targets))
	b.services = make(map[netip.Addr]*service, len(b.services))
	b.servicesByNumber = make(map[uint32]*service, len(old))
	region := b.region()
	for _, s := range v.Services {
		b.addService(s, region, old[s.Number])
	}
	b.updateOwnership()
}

func (b *Balancer) addService(s *view.Service, region string, old *service) {
	var inRegion, all []*target
	for _, u := range s.Upstreams {
		t := b.newTarget(u)
		b.targets[u.ID] = t
		all = append(all, t)
		if u.DataCentre.Region == region {
			inRegion = append(inRegion, t)
		}
	}
	if len(inRegion) == 0 {
		inRegion = all
	}
	current := &service{Service: s, loads: make(map[view.ID]relay.Load)}
	current.table = b.newTable(inRegion)
	if old != nil {
		current.loads, current.open, current.upstreams = old.loads, old.open, old.upstreams
		current.previousTables = b.recentTables(old)
		if sameCandidates(old.table, current.table) {
			current.table = old.table.WithItems(current.table.Items())
		} else {
			current.pushPreviousTable(old.table, b.now)
		}
	}
	b.servicesByNumber[s.Number] = current
	for _, a := range s.Addresses {
		b.services[a] = current
	}
}

func (b *Balancer) newTarget(u *view.Upstream) *target {
	return &target{Upstream: u, group: b.groupNamed(u.DataCentre.Name)}
}

func (b *Balancer) newTable(targets []*target) *rendezvous.Table[*target] {
	groups := make(map[string]int)
	candidates := make([]rendezvous.Candidate, len(targets))
	for i, t := range targets {
		name := t.DataCentre.Name
		if _, ok := groups[name]; !ok {
			groups[name] = len(groups)
		}
		candidates[i] = rendezvous.Candidate{ID: t.ID, Group: groups[name]}
	}
	return rendezvous.NewTable(targets, candidates)
}

// recentTables returns the previous tables that searches still have to
// consider.
func (b *Balancer) recentTables(old *service) []previousTable {
	return slices.DeleteFunc(slices.Clone(old.previousTables), func(e previousTable) bool {
		return b.now.Sub(e.replacedAt) > b.settings.IdleLimit
	})
}

// pushPreviousTable adds the most recently replaced table at the front of
// previousTables.
func (s *service) pushPreviousTable(table *rendezvous.Table[*target], now time.Time) {
	s.previousTables = slices.Insert(s.previousTables, 0, previousTable{table: table, replacedAt: now})
	s.previousTables = s.previousTables[:min(len(s.previousTables), maxPreviousTables)]
}

func sameCandidates(a, b *rendezvous.Table[*target]) bool {
	return slices.EqualFunc(a.Candidates(), b.Candidates(), func(x, y rendezvous.Candidate) bool {
		return x.ID == y.ID
	})
}

func (b *Balancer) region() string {
	for _, d := range b.view.DataCentres {
		if d.Name == b.dataCentre {
			return d.Region
		}
	}
	return ""
}

func (b *Balancer) groupNamed(name string) *group {
	g, ok := b.groups[name]
	if !ok {
		g = &group{name: name, epoch: 1}
		b.groups[name] = g
	}
	return g
}

// updateMembers replaces the list of live instances.
func (b *Balancer) updateMembers(members []Member) {
	byDataCentre := make(map[string][]Member)
	live := make(map[view.ID]bool, len(members))
	b.partitioned = false
	for _, m := range members {
		b.partitioned = b.partitioned || m.Unreachable
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		live[m.ID] = true
	}
	for name := range byDataCentre {
		b.groupNamed(name)
	}
	for _, name := range slices.Sorted(maps.Keys(b.groups)) {
		b.groups[name].set(b.markLeaving(byDataCentre[name]))
	}
	for _, s := range b.servicesByNumber {
		s.dropLoads(live)
	}
	b.updateOwnership()
}

// set replaces the members of the group.
func (g *group) set(members []Member) {
	if slices.Equal(g.members, members) {
		return
	}
	g.members = slices.Clone(members)
	g.eligible = g.eligible[:0]
	for _, m := range members {
		if !m.Leaving {
			g.eligible = append(g.eligible, m.ID)
		}
	}
	g.epoch++
}

// member returns the member with the identifier.
func (g *group) member(id view.ID) (Member, bool) {
	i := slices.IndexFunc(g.members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return g.members[i], true
}

// ownerOf returns the owner of the target. Its ID is zero if the data centre
// has no live instance that may own upstreams.
func (b *Balancer) ownerOf(t *target) *Member {
	if t.epoch == t.group.epoch {
		return &t.owner
	}
	t.epoch, t.owner = t.group.epoch, Member{}
	if i := rendezvous.Best(uint64(t.ID), t.group.eligible); i >= 0 {
		t.owner, _ = t.group.member(t.group.eligible[i])
	}
	return &t.owner
}
