package member

import (
	"maps"
	"slices"
	"time"
)

// Dump is a snapshot of a Membership for operators.
type Dump struct {
	Incarnation            uint64     `json:"incarnation"`
	Representative         bool       `json:"representative"`
	Representatives        []string   `json:"representatives"`
	UnreachableDataCentres []string   `json:"cut-off"`
	Members                []PeerDump `json:"members"`
}

// PeerDump is this instance's record of another instance.
type PeerDump struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data-centre"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
	// Live reports whether the instance is in the list of live members.
	Live bool `json:"live"`
	// Listed reports whether the instance is on the platform's list.
	Listed      bool `json:"listed"`
	Leaving     bool `json:"leaving"`
	Unreachable bool `json:"unreachable"`
	// LastContact is the time since the last message from the instance, empty if it
	// has sent none.
	LastContact string `json:"heard,omitempty"`
}

// Dump returns a snapshot of the membership at the given time. Members are
// ordered by data centre and name.
func (m *Membership) Dump(now time.Time) Dump {
	d := Dump{
		Incarnation: m.self.Incarnation, Representative: m.Representative(),
		Representatives:        []string{},
		UnreachableDataCentres: append([]string{}, m.UnreachableDataCentres()...), Members: []PeerDump{},
	}
	for _, id := range m.Representatives() {
		d.Representatives = append(d.Representatives, m.Name(id))
	}
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		d.Members = append(d.Members, m.dumpPeer(now, m.peers[id]))
	}
	slices.SortFunc(d.Members, func(a, b PeerDump) int {
		return slices.Compare([]string{a.DataCentre, a.Name}, []string{b.DataCentre, b.Name})
	})
	return d
}

func (m *Membership) dumpPeer(now time.Time, p *peer) PeerDump {
	d := PeerDump{
		Name: p.name, DataCentre: p.dataCentre, Status: p.state.Status.String(),
		Incarnation: p.state.Incarnation, Live: p.isLive(), Listed: p.listed,
		Leaving: p.isLeaving(), Unreachable: m.unreachable(now, p),
	}
	if !p.lastContact.IsZero() {
		d.LastContact = now.Sub(p.lastContact).Round(time.Second).String()
	}
	return d
}
