package balancer

import (
	"fmt"
	"time"

	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Dump is a snapshot of a Balancer for operators.
type Dump struct {
	Suspect   bool              `json:"suspect"`
	Stopping  bool              `json:"stopping"`
	Flows     int               `json:"flows"`
	Upstreams []UpstreamDump    `json:"upstreams"`
	Handovers []HandoverDump    `json:"handovers"`
	Counters  Counters          `json:"counters"`
	Dropped   map[string]uint64 `json:"dropped"`
}

// UpstreamDump is a snapshot of one upstream that the instance owns or is
// handing over.
type UpstreamDump struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	Phase      string `json:"phase"`
	Cause      string `json:"cause"`
	Limit      int    `json:"limit"`
	Open       int    `json:"open"`
	Inherited  int    `json:"inherited"`
	Records    int    `json:"records"`
	Pointers   int    `json:"pointers"`
	Busy       int    `json:"busy"`
	Complete   bool   `json:"complete"`
	Held       bool   `json:"held"`
	ReleasedTo string `json:"released-to,omitempty"`
	// OwnedFor is the time since the instance took over the upstream.
	OwnedFor string      `json:"owned-for"`
	Classes  []ClassDump `json:"classes"`
}

// ClassDump is a snapshot of one class on one upstream.
type ClassDump struct {
	Name    string `json:"name"`
	Open    int    `json:"open"`
	Allowed int    `json:"allowed"`
	Met     uint64 `json:"met"`
	Missed  uint64 `json:"missed"`
}

// HandoverDump describes a handover in progress. Left is the number of records
// and pointers still to be sent.
type HandoverDump struct {
	Upstream string `json:"upstream"`
	Left     int    `json:"left"`
}

// Dump returns a snapshot that shares no memory with b.
func (b *Balancer) Dump() Dump {
	d := Dump{
		Suspect: b.viewSuspect, Stopping: !b.stoppingSince.IsZero(), Flows: b.flows, Counters: b.counters,
		Upstreams: []UpstreamDump{}, Handovers: []HandoverDump{}, Dropped: make(map[string]uint64),
	}
	for _, o := range b.pollOrder {
		d.Upstreams = append(d.Upstreams, b.dumpOwned(o))
	}
	for _, h := range b.outgoing {
		d.Handovers = append(d.Handovers, HandoverDump{
			Upstream: h.ownedUpstream.target.Name, Left: len(h.records) + len(h.pointers),
		})
	}
	for r := ReasonNone + 1; r < ReasonCount; r++ {
		d.Dropped[r.String()] = b.counters.Dropped[r]
	}
	return d
}

func (b *Balancer) dumpOwned(o *ownedUpstream) UpstreamDump {
	u := UpstreamDump{
		Name: o.target.Name, Service: o.service.Name,
		Phase: o.limiter.Phase().String(), Cause: o.limiter.Cause().String(), Limit: o.limiter.Limit(),
		Open: o.open(), Inherited: o.inherited, Records: o.records.Len(), Pointers: o.pointers.Len(),
		Busy: len(o.active), Complete: o.firstChoiceComplete && o.movedComplete, Held: b.now.Before(o.holdUntil),
		OwnedFor: b.now.Sub(o.ownedSince).Round(time.Second).String(), Classes: []ClassDump{},
	}
	if i, ok := b.view.Instance(o.releasedTo); ok {
		u.ReleasedTo = i.Name
	}
	for _, q := range o.quotas {
		u.Classes = append(u.Classes, ClassDump{
			Name: q.class.Name, Open: q.open, Allowed: int(q.limit),
			Met: q.metTotal + uint64(q.met), Missed: q.missedTotal + uint64(q.missed),
		})
	}
	return u
}

// Explanation describes how the packets of a flow are routed.
type Explanation struct {
	Flow    string     `json:"flow"`
	Service string     `json:"service"`
	Class   string     `json:"class"`
	Places  []Position `json:"places"`
	// Verdict states what this instance does with the next packet of the flow.
	Verdict string `json:"verdict"`
}

// Position is one entry of a flow's search path.
type Position struct {
	Upstream   string `json:"upstream"`
	DataCentre string `json:"data-centre"`
	Owner      string `json:"owner"`
	// Local states what this instance knows about the flow: record, pointer,
	// none, or remote if another instance owns the upstream.
	Local string `json:"local"`
	// Earlier is true if the upstream is on the path only because it was the
	// flow's first choice under an earlier view.
	Earlier bool `json:"earlier"`
}

// Explain returns how the packets of a flow are routed. It changes no flow
// state but, like Apply, must not run concurrently with other methods.
func (b *Balancer) Explain(k flow.Key) Explanation {
	e := Explanation{Flow: fmt.Sprintf("%s,%s", k.Source, k.Destination), Places: []Position{}}
	s, ok := b.services[k.Destination.Addr()]
	if !ok {
		e.Verdict = "dropped: no service has the destination address"
		return e
	}
	e.Service = s.Name
	if class := s.class(k); class >= 0 {
		e.Class = s.Classes[class].Name
	}
	id := k.ID()
	path := *b.searchPath(s, id)
	for position := range path.length {
		e.Places = append(e.Places, b.explainPosition(path.targets[position], id, position >= s.table.List(id).Len()))
	}
	e.Verdict = verdict(e.Places)
	return e
}

func (b *Balancer) explainPosition(t *target, id flow.ID, earlier bool) Position {
	p := Position{Upstream: t.Name, DataCentre: t.DataCentre.Name, Local: "remote", Earlier: earlier}
	if i, ok := b.view.Instance(b.ownerOf(t).ID); ok {
		p.Owner = i.Name
	}
	if t.local == nil {
		return p
	}
	p.Local = "none"
	if ptr := t.local.pointers.Get(id); ptr != nil {
		p.Local = "pointer"
		if to, ok := b.targets[ptr.to]; ok {
			p.Local = "pointer to " + to.Name
		}
	}
	if t.local.records.Get(id) != nil {
		p.Local = "record"
	}
	return p
}

// verdict describes what happens at the flow's first choice.
func verdict(positions []Position) string {
	if len(positions) == 0 {
		return "dropped: the service has no reachable upstream"
	}
	firstChoice := positions[0]
	switch firstChoice.Local {
	case "remote":
		return "relayed to " + firstChoice.Owner + ", owner of the first choice " + firstChoice.Upstream
	case "record":
		return "forwarded to " + firstChoice.Upstream + ", which holds the flow"
	case "none":
		return "no record at the first choice " + firstChoice.Upstream + ": searched for along the preference list, or admitted if it opens a flow"
	default:
		return "routed along the " + firstChoice.Local
	}
}
