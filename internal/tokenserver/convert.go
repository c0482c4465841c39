package tokenserver

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/peer/edgev1"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
	"github.com/chervilhaven/chervilhaven/internal/work"
)

// maxCount limits the counts in messages of other instances.
const maxCount = 1 << 31

// addressToProto returns an IPv4 address and its port as integers, and two zeros
// for any other address.
func addressToProto(a netip.AddrPort) (ip, port uint32) {
	b := a.Addr().Unmap()
	if !b.Is4() {
		return 0, 0
	}
	bytes := b.As4()
	return binary.BigEndian.Uint32(bytes[:]), uint32(a.Port())
}

// addressFromProto returns the zero address for a port out of range.
func addressFromProto(ip, port uint32) netip.AddrPort {
	if port > math.MaxUint16 {
		return netip.AddrPort{}
	}
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(port))
}

// packAddress returns an IPv4 address with its port in the lowest 16 bits.
func packAddress(a netip.AddrPort) uint64 {
	ip, port := addressToProto(a)
	return uint64(ip)<<16 | uint64(port)
}

func unpackAddress(packed uint64) netip.AddrPort {
	return addressFromProto(uint32(packed>>16), uint32(packed&0xffff))
}

// answerFromProto returns NoAnswer for kinds that this version does not know.
func answerFromProto(kind uint32) tokenrouter.Answer {
	if kind > uint32(tokenrouter.PeersMessage) {
		return tokenrouter.NoAnswer
	}
	return tokenrouter.Answer(kind)
}

func peerGroupToProto(g *tokenrouter.PeerGroup) *edgev1.PeerGroup {
	p := &edgev1.PeerGroup{DataCentre: g.DataCentre}
	for _, s := range g.Peers {
		state := 2 * milliseconds(s.Age)
		if s.Dead {
			state++
		}
		p.Addresses, p.States = append(p.Addresses, packAddress(s.Address)), append(p.States, state)
	}
	return p
}

// peerGroupFromProto leaves out addresses without a state.
func peerGroupFromProto(p *edgev1.PeerGroup) tokenrouter.PeerGroup {
	g := tokenrouter.PeerGroup{DataCentre: p.GetDataCentre()}
	states := p.GetStates()
	for i, a := range p.GetAddresses()[:min(len(p.GetAddresses()), len(states))] {
		g.Peers = append(g.Peers, tokenrouter.PeerState{Address: unpackAddress(a), Age: duration(states[i] / 2), Dead: states[i]%2 == 1})
	}
	return g
}

func messageToProto(m *tokenrouter.Message) *edgev1.Message {
	p := &edgev1.Message{
		DataCentre: m.DataCentre, Leaving: m.Leaving, Version: m.Version, Era: uint64(m.Through.Era), Through: uint64(m.Through.Revision), Reads: m.Reads, Hello: m.Hello, Answer: uint32(m.Answer), CutOff: m.CutOff, OutOfReach: m.OutOfReach,
	}
	for i := range m.Peers {
		p.Peers = append(p.Peers, peerGroupToProto(&m.Peers[i]))
	}
	for _, r := range m.Readers {
		p.Readers = append(p.Readers, &edgev1.Reader{Address: packAddress(r.Address), AgeMs: milliseconds(r.Age)})
	}
	for _, a := range m.Relay {
		p.Relay = append(p.Relay, packAddress(a))
	}
	if m.News != nil {
		p.News = batchToProto(m.News)
	}
	for _, s := range m.Seeks {
		p.Seeks = append(p.Seeks, &edgev1.Seek{Flow: s.Flow, AgeMs: milliseconds(s.Age)})
	}
	for _, s := range m.Pins {
		p.Pins = append(p.Pins, &edgev1.Pin{Flow: s.Flow, Upstream: s.Upstream, AgeMs: milliseconds(s.Age)})
	}
	for _, d := range m.Doubts {
		p.Doubts = append(p.Doubts, &edgev1.Doubt{Upstream: d.Upstream, ColdMs: milliseconds(d.ColdFor)})
	}
	for _, a := range m.Asks {
		p.Asks = append(p.Asks, &edgev1.Ask{
			Service: a.Service, Group: uint32(a.Group), Avoid: a.Avoid, AgeMs: milliseconds(a.Age),
			TargetMs: milliseconds(a.Target), DeadlineMs: milliseconds(a.Deadline), Priority: uint32(a.Priority), Bulk: a.Bulk, Flow: a.Flow, SeenMs: milliseconds(a.Seen),
		})
	}
	for _, g := range m.Grants {
		p.Grants = append(p.Grants, &edgev1.Grant{Flow: g.Flow, Upstream: g.Upstream, Queued: g.Queued, Refused: g.Refused})
	}
	for _, r := range m.Reports {
		p.Reports = append(p.Reports, &edgev1.Report{
			Upstream: r.Upstream, Finished: r.Finished, Moved: r.Moved, Taken: takenToProto(r.Taken), Answered: uint32(r.Answered), Unanswered: r.Unanswered, Silent: uint32(r.Silent), Idle: idleToProto(r.Idle), Stuck: r.Stuck,
		})
	}
	for i := range m.Work {
		p.Work = append(p.Work, workToProto(&m.Work[i]))
	}
	return p
}

func messageFromProto(p *edgev1.Message) *tokenrouter.Message {
	m := &tokenrouter.Message{
		DataCentre: p.GetDataCentre(), Leaving: p.GetLeaving(), Version: p.GetVersion(), Through: catalog.Position{Era: catalog.Era(p.GetEra()), Revision: catalog.Revision(p.GetThrough())},
		Reads: p.GetReads(), Hello: p.GetHello(), Answer: answerFromProto(p.GetAnswer()), CutOff: p.GetCutOff(), OutOfReach: p.GetOutOfReach(),
	}
	for _, g := range p.GetPeers() {
		m.Peers = append(m.Peers, peerGroupFromProto(g))
	}
	for _, r := range p.GetReaders() {
		m.Readers = append(m.Readers, tokenrouter.Reader{Address: unpackAddress(r.GetAddress()), Age: duration(r.GetAgeMs())})
	}
	for _, a := range p.GetRelay() {
		m.Relay = append(m.Relay, unpackAddress(a))
	}
	if p.GetNews() != nil {
		b := batchFromProto(p.GetNews())
		m.News = &b
	}
	for _, s := range p.GetSeeks() {
		m.Seeks = append(m.Seeks, tokenrouter.Seek{Flow: s.GetFlow(), Age: duration(s.GetAgeMs())})
	}
	for _, s := range p.GetPins() {
		m.Pins = append(m.Pins, tokenrouter.Pin{Flow: s.GetFlow(), Upstream: s.GetUpstream(), Age: duration(s.GetAgeMs())})
	}
	for _, d := range p.GetDoubts() {
		m.Doubts = append(m.Doubts, scheduler.Doubt{Upstream: d.GetUpstream(), ColdFor: duration(d.GetColdMs())})
	}
	for _, a := range p.GetAsks() {
		m.Asks = append(m.Asks, tokenrouter.Ask{
			Service: a.GetService(), Group: int(a.GetGroup()), Avoid: a.GetAvoid(), Age: duration(a.GetAgeMs()),
			Target: duration(a.GetTargetMs()), Deadline: duration(a.GetDeadlineMs()), Priority: int(a.GetPriority()), Bulk: a.GetBulk(), Flow: a.GetFlow(), Seen: duration(a.GetSeenMs()),
		})
	}
	for _, g := range p.GetGrants() {
		m.Grants = append(m.Grants, tokenrouter.Grant{Flow: g.GetFlow(), Upstream: g.GetUpstream(), Queued: g.GetQueued(), Refused: g.GetRefused()})
	}
	for _, r := range p.GetReports() {
		m.Reports = append(m.Reports, tokenrouter.Report{
			Upstream: r.GetUpstream(), Finished: r.GetFinished(), Moved: r.GetMoved(), Taken: takenFromProto(r.GetTaken()), Answered: int(r.GetAnswered()), Unanswered: r.GetUnanswered(), Silent: int(r.GetSilent()), Idle: idleFromProto(r.GetIdle()), Stuck: r.GetStuck(),
		})
	}
	for _, t := range p.GetWork() {
		m.Work = append(m.Work, workFromProto(t))
	}
	return m
}

func takenToProto(list []tokenrouter.Taken) []*edgev1.Taken {
	out := make([]*edgev1.Taken, 0, len(list))
	for _, t := range list {
		out = append(out, &edgev1.Taken{Flow: t.Flow, AgeMs: milliseconds(t.Age), TargetMs: milliseconds(t.Class.Target), Bulk: t.Class.Bulk})
	}
	return out
}

func takenFromProto(list []*edgev1.Taken) []tokenrouter.Taken {
	var out []tokenrouter.Taken
	for _, t := range list {
		out = append(out, tokenrouter.Taken{
			Flow: t.GetFlow(), Age: duration(t.GetAgeMs()), Class: scheduler.Class{Target: duration(t.GetTargetMs()), Bulk: t.GetBulk()},
		})
	}
	return out
}

func idleToProto(list []tokenrouter.Taken) []*edgev1.Idle {
	var out []*edgev1.Idle
	for _, t := range list {
		out = append(out, &edgev1.Idle{Flow: t.Flow, AgeMs: milliseconds(t.Age)})
	}
	return out
}

func idleFromProto(list []*edgev1.Idle) []tokenrouter.Taken {
	var out []tokenrouter.Taken
	for _, t := range list {
		out = append(out, tokenrouter.Taken{Flow: t.GetFlow(), Age: duration(t.GetAgeMs())})
	}
	return out
}

func workToProto(t *work.Total) *edgev1.Work {
	return &edgev1.Work{
		Upstream: t.Upstream, Open: uint32(t.Open), UnderWay: uint32(t.UnderWay), Ended: t.Ended,
		TookMs: uint64(t.Took.Milliseconds()), BusyMs: uint64(t.Busy.Milliseconds()), Answers: t.Answers, Early: t.Early,
	}
}

func workFromProto(p *edgev1.Work) work.Total {
	return work.Total{
		Upstream: p.GetUpstream(), Open: count(p.GetOpen()), UnderWay: count(p.GetUnderWay()), Ended: min(p.GetEnded(), maxCount),
		Took: time.Duration(min(p.GetTookMs(), maxCount)) * time.Millisecond, Busy: time.Duration(min(p.GetBusyMs(), maxCount)) * time.Millisecond,
		Answers: min(p.GetAnswers(), maxCount), Early: min(p.GetEarly(), maxCount),
	}
}

// count limits what a message says to what a sum of many of them can hold.
func count(n uint32) int { return int(min(n, maxCount)) }

func batchToProto(b *catalog.Batch) *edgev1.Batch {
	p := &edgev1.Batch{Era: uint64(b.Era), Since: uint64(b.Since), Through: uint64(b.Through), Whole: b.Snapshot}
	for i := range b.Items {
		p.Items = append(p.Items, itemToProto(&b.Items[i]))
	}
	return p
}

func itemToProto(i *catalog.Item) *edgev1.Item {
	p := &edgev1.Item{Key: i.Key, Revision: uint64(i.Revision)}
	switch {
	case i.Configuration != nil:
		p.Value = &edgev1.Item_Configuration{Configuration: configurationToProto(i.Configuration)}
	case i.Upstream != nil:
		p.Value = &edgev1.Item_Upstream{Upstream: upstreamToProto(i.Upstream)}
	case i.DataCentreOut:
		p.Value = &edgev1.Item_Evacuation{Evacuation: &edgev1.Evacuation{}}
	}
	return p
}

func configurationToProto(c *catalog.Configuration) *edgev1.Configuration {
	p := &edgev1.Configuration{Version: c.Version, IdleTimeoutMs: milliseconds(c.IdleTimeout)}
	index := make(map[string]uint32, len(c.Services))
	for _, s := range c.Services {
		index[s.Name] = uint32(len(p.Services))
		p.Services = append(p.Services, &edgev1.Service{Name: s.Name, ColdMs: milliseconds(s.ColdFor), ColdPerSecond: s.ColdPerSecond})
	}
	for _, r := range c.Routes {
		if _, ok := index[r.Service]; !ok {
			index[r.Service] = uint32(len(p.Services))
			p.Services = append(p.Services, &edgev1.Service{Name: r.Service})
		}
		ip, port := addressToProto(r.Address)
		p.Routes = append(p.Routes, &edgev1.Route{
			Address: ip, Port: port, Service: index[r.Service], Work: uint32(r.Work),
			TargetMs: milliseconds(r.Target), DeadlineMs: milliseconds(r.Deadline), Priority: uint32(r.Priority),
		})
	}
	return p
}

func upstreamToProto(u *catalog.Upstream) *edgev1.Upstream {
	ip, port := addressToProto(u.Address)
	return &edgev1.Upstream{
		Number: u.Number, Service: u.Service, Address: ip, Port: port, DataCentre: u.DataCentre,
		Slots: uint32(u.Slots), Draining: u.Draining, ColdMs: milliseconds(u.ColdFor), Started: u.Started.UnixMilli(),
	}
}

func batchFromProto(p *edgev1.Batch) catalog.Batch {
	b := catalog.Batch{
		Era: catalog.Era(p.GetEra()), Since: catalog.Revision(p.GetSince()), Through: catalog.Revision(p.GetThrough()), Snapshot: p.GetWhole(),
	}
	for _, i := range p.GetItems() {
		item := catalog.Item{Key: i.GetKey(), Revision: catalog.Revision(i.GetRevision())}
		switch v := i.GetValue().(type) {
		case *edgev1.Item_Configuration:
			item.Configuration = configurationFromProto(v.Configuration)
		case *edgev1.Item_Upstream:
			item.Upstream = upstreamFromProto(v.Upstream)
		case *edgev1.Item_Evacuation:
			item.DataCentreOut = true
		}
		b.Items = append(b.Items, item)
	}
	return b
}

func configurationFromProto(p *edgev1.Configuration) *catalog.Configuration {
	c := &catalog.Configuration{Version: p.GetVersion(), IdleTimeout: duration(p.GetIdleTimeoutMs())}
	for _, s := range p.GetServices() {
		c.Services = append(c.Services, catalog.Service{Name: s.GetName(), ColdFor: duration(s.GetColdMs()), ColdPerSecond: rateFromProto(s.GetColdPerSecond())})
	}
	for _, r := range p.GetRoutes() {
		if int(r.GetService()) >= len(c.Services) {
			continue
		}
		c.Routes = append(c.Routes, catalog.Route{
			Address: addressFromProto(r.GetAddress(), r.GetPort()), Service: c.Services[r.GetService()].Name,
			Work: catalog.WorkKind(r.GetWork()), Target: duration(r.GetTargetMs()), Deadline: duration(r.GetDeadlineMs()), Priority: int(r.GetPriority()),
		})
	}
	return c
}

// rateFromProto returns 0 for what is not a rate.
func rateFromProto(r float64) float64 {
	if r > 0 && !math.IsInf(r, 0) {
		return r
	}
	return 0
}

func upstreamFromProto(p *edgev1.Upstream) *catalog.Upstream {
	return &catalog.Upstream{
		Number: p.GetNumber(), Service: p.GetService(), Address: addressFromProto(p.GetAddress(), p.GetPort()),
		DataCentre: p.GetDataCentre(), Slots: int(p.GetSlots()), Draining: p.GetDraining(),
		ColdFor: duration(p.GetColdMs()), Started: time.UnixMilli(p.GetStarted()),
	}
}

// milliseconds returns the nearest number that a message can hold.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func duration(milliseconds uint32) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}
