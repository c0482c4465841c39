package ownerserver

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// maxContactAge limits the age of a platform contact received from a peer.
const maxContactAge = 24 * time.Hour

func versionToProto(v view.Version) *peerv1.Version {
	return &peerv1.Version{Generation: v.Generation, Revision: v.Revision}
}

func versionFromProto(v *peerv1.Version) view.Version {
	return view.Version{Generation: v.GetGeneration(), Revision: v.GetRevision()}
}

func keysToProto(keys []view.KeyVersion) []*peerv1.KeyVersion {
	list := make([]*peerv1.KeyVersion, len(keys))
	for n, k := range keys {
		list[n] = &peerv1.KeyVersion{Key: k.Key, Version: versionToProto(k.Version)}
	}
	return list
}

func keysFromProto(keys []*peerv1.KeyVersion) []view.KeyVersion {
	list := make([]view.KeyVersion, len(keys))
	for n, k := range keys {
		list[n] = view.KeyVersion{Key: k.GetKey(), Version: versionFromProto(k.GetVersion())}
	}
	return list
}

func digestToProto(d *member.Digest) *peerv1.Digest {
	p := &peerv1.Digest{Version: versionToProto(d.Version), Keys: keysToProto(d.Keys)}
	if d.Platform.By != 0 {
		p.Platform = &peerv1.Contact{By: uint64(d.Platform.By), AgeMilliseconds: uint64(d.Platform.Age.Milliseconds())}
	}
	for _, n := range d.Introductions {
		p.Introductions = append(p.Introductions, &peerv1.Introduction{
			Name: n.Name, DataCentre: n.DataCentre, Packets: n.Packets.String(), Peers: n.Peers.String(),
		})
	}
	for _, m := range d.Members {
		p.Members = append(p.Members, &peerv1.MemberState{
			Id: uint64(m.ID), Incarnation: m.Incarnation, Status: statusToProto(m.Status),
		})
	}
	return p
}

// digestFromProto skips members with an unknown status.
func digestFromProto(p *peerv1.Digest) member.Digest {
	d := member.Digest{
		Version: versionFromProto(p.GetVersion()), Keys: keysFromProto(p.GetKeys()),
		Introductions: introductionsFromProto(p.GetIntroductions()), Platform: contactFromProto(p.GetPlatform()),
	}
	for _, m := range p.GetMembers() {
		if status := statusFromProto(m.GetStatus()); status != 0 {
			d.Members = append(d.Members, member.State{
				ID: view.ID(m.GetId()), Incarnation: m.GetIncarnation(), Status: status,
			})
		}
	}
	return d
}

// introductionsFromProto skips entries without a name or with an invalid
// address.
func introductionsFromProto(list []*peerv1.Introduction) []member.Introduction {
	var introductions []member.Introduction
	for _, p := range list {
		packets, packetsErr := netip.ParseAddrPort(p.GetPackets())
		peers, peersErr := netip.ParseAddrPort(p.GetPeers())
		if packetsErr != nil || peersErr != nil || p.GetName() == "" {
			continue
		}
		introductions = append(introductions, member.Introduction{
			Name: p.GetName(), DataCentre: p.GetDataCentre(), Packets: packets, Peers: peers,
		})
	}
	return introductions
}

// contactFromProto limits the age to maxContactAge, because a peer may send any
// value.
func contactFromProto(p *peerv1.Contact) member.PlatformContact {
	if p.GetBy() == 0 {
		return member.PlatformContact{}
	}
	age := min(p.GetAgeMilliseconds(), uint64(maxContactAge.Milliseconds()))
	return member.PlatformContact{By: view.ID(p.GetBy()), Age: time.Duration(age) * time.Millisecond}
}

func statusToProto(s member.Status) peerv1.MemberState_Status {
	switch s {
	case member.Alive:
		return peerv1.MemberState_STATUS_ALIVE
	case member.Suspect:
		return peerv1.MemberState_STATUS_SUSPECT
	case member.Dead:
		return peerv1.MemberState_STATUS_DEAD
	case member.Leaving:
		return peerv1.MemberState_STATUS_LEAVING
	default:
		return peerv1.MemberState_STATUS_UNSPECIFIED
	}
}

func statusFromProto(s peerv1.MemberState_Status) member.Status {
	switch s {
	case peerv1.MemberState_STATUS_ALIVE:
		return member.Alive
	case peerv1.MemberState_STATUS_SUSPECT:
		return member.Suspect
	case peerv1.MemberState_STATUS_DEAD:
		return member.Dead
	case peerv1.MemberState_STATUS_LEAVING:
		return member.Leaving
	default:
		return 0
	}
}

// valuesToProto returns the leading values that fit into limit bytes, but at
// least one. The receiver's versions are still older after a partial response,
// so it fetches the rest later.
func valuesToProto(values []view.Value, limit int) []*peerv1.Value {
	var list []*peerv1.Value
	for _, v := range values {
		limit -= len(v.Key) + len(v.Content)
		if limit < 0 && len(list) > 0 {
			break
		}
		list = append(list, &peerv1.Value{
			Key: v.Key, Version: versionToProto(v.Version), Content: v.Content, Deleted: v.Deleted,
			Patch: patchToProto(v.Patch),
		})
	}
	return list
}

func valuesFromProto(values []*peerv1.Value) []view.Value {
	list := make([]view.Value, len(values))
	for n, v := range values {
		list[n] = view.Value{
			Key: v.GetKey(), Version: versionFromProto(v.GetVersion()), Content: v.GetContent(), Deleted: v.GetDeleted(),
			Patch: patchFromProto(v.GetPatch()),
		}
	}
	return list
}

func patchToProto(p *view.Patch) *peerv1.Patch {
	if p == nil {
		return nil
	}
	return &peerv1.Patch{
		Base: versionToProto(p.Base), Prefix: uint32(p.Prefix), Suffix: uint32(p.Suffix), Sum: p.Hash,
	}
}

func patchFromProto(p *peerv1.Patch) *view.Patch {
	if p == nil {
		return nil
	}
	return &view.Patch{
		Base: versionFromProto(p.GetBase()), Prefix: int(p.GetPrefix()), Suffix: int(p.GetSuffix()), Hash: p.GetSum(),
	}
}

func flowToProto(f flow.ID) *peerv1.FlowId {
	return &peerv1.FlowId{High: f.High, Low: f.Low}
}

func flowFromProto(f *peerv1.FlowId) flow.ID {
	return flow.ID{High: f.GetHigh(), Low: f.GetLow()}
}

func handoverToProto(from view.ID, h *balancer.Handover) *peerv1.HandoverRequest {
	p := &peerv1.HandoverRequest{
		From: uint64(from), Upstream: uint64(h.Upstream),
		Open: uint32(h.Open), Limit: uint32(h.Limit), Last: h.Last, Complete: h.Complete, Witness: h.Backup,
	}
	for _, f := range h.Records {
		p.Records = append(p.Records, flowToProto(f))
	}
	for _, t := range h.Pointers {
		p.Pointers = append(p.Pointers, &peerv1.Pointer{Flow: flowToProto(t.Flow), To: uint64(t.To)})
	}
	return p
}

func handoverFromProto(p *peerv1.HandoverRequest) balancer.Handover {
	h := balancer.Handover{
		Upstream: view.ID(p.GetUpstream()), Open: int(p.GetOpen()), Limit: int(p.GetLimit()),
		Last: p.GetLast(), Complete: p.GetComplete(), Backup: p.GetWitness(),
	}
	for _, f := range p.GetRecords() {
		h.Records = append(h.Records, flowFromProto(f))
	}
	for _, t := range p.GetPointers() {
		h.Pointers = append(h.Pointers, balancer.Pointer{Flow: flowFromProto(t.GetFlow()), To: view.ID(t.GetTo())})
	}
	return h
}

func idsToProto(ids []view.ID) []uint64 {
	list := make([]uint64, len(ids))
	for n, id := range ids {
		list[n] = uint64(id)
	}
	return list
}

func idsFromProto(ids []uint64) []view.ID {
	list := make([]view.ID, len(ids))
	for n, id := range ids {
		list[n] = view.ID(id)
	}
	return list
}
