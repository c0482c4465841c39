package tokenrouter

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
	"github.com/chervilhaven/chervilhaven/internal/token"
)

// Dump is the state of an instance, printed as JSON for operators.
type Dump struct {
	Ready       bool           `json:"ready"`
	Version     uint64         `json:"configuration-version"`
	Era         uint64         `json:"store-era"`
	Through     uint64         `json:"through-revision"`
	Reads       bool           `json:"reads-the-store"`
	Routes      int            `json:"routes"`
	Out         []string       `json:"data-centres-out"`
	CutOff      []string       `json:"data-centres-cut-off"`
	QueuedFlows int            `json:"flows-waiting"`
	Deferred    int            `json:"items-deferred"`
	Peers       []PeerDump     `json:"peers"`
	Upstreams   []UpstreamDump `json:"upstreams"`
	Counts      Counts         `json:"counts"`
}

// PeerDump is the state of another instance in a Dump.
type PeerDump struct {
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Live       bool   `json:"live"`
	Reads      bool   `json:"reads-the-store"`
	Era        uint64 `json:"store-era"`
	Through    uint64 `json:"through-revision"`
	LastHeard  string `json:"heard-ago"`
}

// UpstreamDump is the state of one upstream in a Dump or Explanation.
type UpstreamDump struct {
	Key        string `json:"key"`
	Service    string `json:"service"`
	DataCentre string `json:"data-centre"`
	Address    string `json:"address"`
	Token      string `json:"token"`
	State      string `json:"state"`
	Suspect    bool   `json:"suspect"`
	// MayBeCold is true if the upstream fell silent and may have restarted since.
	MayBeCold   bool `json:"may-be-cold"`
	Outstanding int  `json:"outstanding"`
	// Open is the number of flows that stay open there, Work the average number of their
	// requests under way, Slowness how long requests take compared with other upstreams and
	// AtOnce how many at once it takes well. They are known to the coordinator.
	Open        int     `json:"open-flows"`
	Work        float64 `json:"work-in-open-flows"`
	Slowness    float64 `json:"slowness"`
	AtOnce      float64 `json:"at-once"`
	Ejected     bool    `json:"ejected"`
	OutOfReach  bool    `json:"out-of-reach"`
	Coordinator string  `json:"accountant"`
}

// Dump returns the state of the instance at the time now.
func (rt *Router) Dump(now time.Time) Dump {
	d := Dump{
		Ready: rt.Ready(), Version: rt.catalog.ConfigurationVersion(), Era: uint64(rt.catalog.Position().Era), Through: uint64(rt.catalog.Through()), Reads: rt.reader.readsStore, Routes: len(rt.routes),
		CutOff: rt.cutOff, QueuedFlows: rt.coordination.queue.Len(), Deferred: len(rt.deferred), Counts: rt.counts,
	}
	for name := range rt.out {
		d.Out = append(d.Out, name)
	}
	slices.Sort(d.Out)
	for _, p := range rt.roster.peers {
		d.Peers = append(d.Peers, PeerDump{
			p.address.String(), p.dataCentre, rt.roster.live(now, p), rt.roster.reads(now, p), uint64(p.through.Era), uint64(p.through.Revision), now.Sub(p.heard).String(),
		})
	}
	slices.SortFunc(d.Peers, func(a, b PeerDump) int { return strings.Compare(a.Address, b.Address) })
	for _, n := range rt.upstreams.sortedNumbers() {
		d.Upstreams = append(d.Upstreams, rt.dumpUpstream(now, rt.upstreams.byNumber[n]))
	}
	return d
}

func (rt *Router) dumpUpstream(now time.Time, u *upstream) UpstreamDump {
	n := u.info.Number
	c := rt.coordinator(now, u.info.Service, rt.scheduler.GroupOf(u.info.Service, n))
	_, mayBeCold := rt.scheduler.DoubtOf(now, n)
	m := rt.scheduler.Measures(now, n)
	_, outOfReach := rt.stuck.outOfReach[n]
	return UpstreamDump{
		Key: u.key, Service: u.info.Service, DataCentre: u.info.DataCentre, Address: u.info.Address.String(), Token: hex(u.token), State: rt.stateName(u),
		Suspect: rt.scheduler.IsSuspect(now, n), MayBeCold: mayBeCold, Outstanding: rt.scheduler.OutstandingFlows(now, n), Coordinator: coordinatorName(c),
		Open: m.Open, Work: m.Work, Slowness: m.Slowness, AtOnce: m.AtOnce, Ejected: rt.scheduler.IsEjected(now, n), OutOfReach: outOfReach,
	}
}

// stateName returns the state of an upstream for operators, including the reason
// if it gets no new flows.
func (rt *Router) stateName(u *upstream) string {
	switch {
	case !u.goneAt.IsZero() && u.unconfirmed:
		return "doubtful"
	case !u.goneAt.IsZero():
		return "gone"
	case u.clash:
		return "token-clash"
	case u.info.Draining:
		return "draining"
	case rt.stateOf(u) == scheduler.Closed:
		return "data-centre-out"
	default:
		return "open"
	}
}

// Explanation describes how packets of a flow are routed.
type Explanation struct {
	Route        string `json:"route"`
	Service      string `json:"service"`
	Work         string `json:"work"`
	Target       string `json:"target"`
	Through      uint64 `json:"through-revision"`
	CatalogFresh bool   `json:"news-is-fresh"`
	// Opening describes the pending opening of the flow at this instance.
	Opening string `json:"opening,omitempty"`
	// ByToken is the upstream that the requested token names.
	ByToken *UpstreamDump `json:"by-token,omitempty"`
	// Upstreams lists the upstreams that a new flow may be placed at.
	Upstreams []UpstreamDump `json:"upstreams"`
}

// Explain returns how packets from source to destination are routed: those of
// new flows, and those that carry the token t, 0 for none.
func (rt *Router) Explain(now time.Time, source, destination netip.AddrPort, t token.Token) Explanation {
	x := Explanation{Route: "none", Through: uint64(rt.catalog.Through()), CatalogFresh: rt.catalogFresh(now)}
	if r, ok := rt.routes[destination]; ok {
		x.Route, x.Service, x.Work, x.Target = destination.String(), r.Service, r.Work.String(), r.Target.String()
	}
	if o, ok := rt.openings.flows[flowID{source, destination}]; ok {
		x.Opening = o.phase.String() + ", " + strconv.Itoa(len(o.tries)) + " upstreams tried, " + now.Sub(o.firstSeen).String() + " old"
	}
	if u, ok := rt.upstreams.byToken[t]; ok {
		d := rt.dumpUpstream(now, u)
		x.ByToken = &d
	}
	for _, n := range rt.upstreams.sortedNumbers() {
		if u := rt.upstreams.byNumber[n]; u.info.Service == x.Service && rt.stateOf(u) != scheduler.Closed {
			x.Upstreams = append(x.Upstreams, rt.dumpUpstream(now, u))
		}
	}
	return x
}
