package node

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Dump is the state of an instance for operators.
type Dump struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"data-centre"`
	Serving    bool         `json:"serving"`
	View       ViewDump     `json:"view"`
	Members    member.Dump  `json:"members"`
	Platform   PlatformDump `json:"platform"`
	// Balancer is nil where another policy decides about packets.
	Balancer *balancer.Dump `json:"balancer,omitempty"`
}

// ViewDump is the configuration in force.
type ViewDump struct {
	Version view.Version `json:"version"`
	// Age is the time since the last change, empty before the first.
	Age string `json:"age,omitempty"`
	// Source says where the last change came from.
	Source string `json:"source"`
	// Suspect is true from a pause of the process until the view is confirmed.
	Suspect bool          `json:"suspect"`
	Keys    []KeyDump     `json:"keys"`
	Refused []RefusedDump `json:"refused"`
}

// KeyDump is one value in force.
type KeyDump struct {
	Key     string       `json:"key"`
	Version view.Version `json:"version"`
	Bytes   int          `json:"bytes"`
}

// RefusedDump is one value that was not accepted.
type RefusedDump struct {
	Key     string       `json:"key"`
	Version view.Version `json:"version"`
	Cause   string       `json:"cause"`
}

// PlatformDump is the state of reading the platform.
type PlatformDump struct {
	// Watching is true while this instance reads on behalf of others.
	Watching bool         `json:"watching"`
	Cursor   view.Version `json:"cursor"`
	// Contact is the time since anybody in the data centre read the platform
	// and By who it was, empty for none.
	Contact string `json:"contact,omitempty"`
	By      string `json:"by,omitempty"`
}

// Dump returns the state of the instance at its last event.
func (n *Node) Dump() Dump {
	d := Dump{
		Name: n.config.Name, DataCentre: n.config.DataCentre, Serving: n.start.phase == serving,
		View: n.dumpView(), Members: n.members.Dump(n.now), Platform: n.dumpPlatform(),
	}
	if b, ok := n.policy.(*balancer.Balancer); ok {
		state := b.Dump()
		d.Balancer = &state
	}
	return d
}

func (n *Node) dumpView() ViewDump {
	d := ViewDump{
		Version: n.store.Version(), Source: n.source.String(), Suspect: n.wake.suspect,
		Keys: []KeyDump{}, Refused: []RefusedDump{},
	}
	if !n.changed.IsZero() {
		d.Age = n.now.Sub(n.changed).Round(time.Second).String()
	}
	for _, k := range n.store.Versions() {
		value, _ := n.store.Get(k.Key)
		d.Keys = append(d.Keys, KeyDump{Key: k.Key, Version: k.Version, Bytes: len(value.Content)})
	}
	for _, r := range n.store.Refused() {
		d.Refused = append(d.Refused, RefusedDump{Key: r.Key, Version: r.Version, Cause: r.Err.Error()})
	}
	return d
}

func (n *Node) dumpPlatform() PlatformDump {
	r := &n.reader
	d := PlatformDump{Watching: n.start.phase == serving && n.watches(n.now), Cursor: r.cursor}
	if !r.contact.IsZero() {
		d.Contact = n.now.Sub(r.contact).Round(time.Second).String()
		d.By = n.members.Name(r.by)
	}
	return d
}

// Explain returns where the packets of a flow go, empty where another policy
// than the balancer decides.
func (n *Node) Explain(k flow.Key) balancer.Explanation {
	if b, ok := n.policy.(*balancer.Balancer); ok {
		return b.Explain(k)
	}
	return balancer.Explanation{}
}
