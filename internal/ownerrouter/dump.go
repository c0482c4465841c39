package ownerrouter

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Dump is a snapshot of an instance's state for operators.
type Dump struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"data-centre"`
	Serving    bool         `json:"serving"`
	View       ViewDump     `json:"view"`
	Members    member.Dump  `json:"members"`
	Platform   PlatformDump `json:"platform"`
	// Balancer is nil if the instance uses another policy than the standard
	// balancer.
	Balancer *balancer.Dump `json:"balancer,omitempty"`
}

// ViewDump describes the configuration in force.
type ViewDump struct {
	Version view.Version `json:"version"`
	// Age is the time since the last configuration change, empty before the
	// first one.
	Age string `json:"age,omitempty"`
	// Source is the origin of the last change: platform, peer or none.
	Source string `json:"source"`
	// Suspect is true from a pause of the process until the view is confirmed.
	Suspect bool          `json:"suspect"`
	Keys    []KeyDump     `json:"keys"`
	Refused []RefusedDump `json:"refused"`
}

// KeyDump describes one value in force. Bytes is the size of its content.
type KeyDump struct {
	Key     string       `json:"key"`
	Version view.Version `json:"version"`
	Bytes   int          `json:"bytes"`
}

// RefusedDump describes one received value that failed validation.
type RefusedDump struct {
	Key     string       `json:"key"`
	Version view.Version `json:"version"`
	Cause   string       `json:"cause"`
}

// PlatformDump is the state of reading the platform, the configuration service.
type PlatformDump struct {
	// Watching is true while this instance reads the platform for its data
	// centre. Cursor is the newest version it has seen there.
	Watching bool         `json:"watching"`
	Cursor   view.Version `json:"cursor"`
	// Contact is the time since any instance of the data centre last read the
	// platform, and By the name of that instance. Both are empty if unknown.
	Contact string `json:"contact,omitempty"`
	By      string `json:"by,omitempty"`
}

// Dump returns the state as of the last event.
func (rt *Router) Dump() Dump {
	d := Dump{
		Name: rt.config.Name, DataCentre: rt.config.DataCentre, Serving: rt.startup.phase == phaseServing,
		View: rt.dumpView(), Members: rt.membership.Dump(rt.now), Platform: rt.dumpPlatform(),
	}
	if b, ok := rt.policy.(*balancer.Balancer); ok {
		state := b.Dump()
		d.Balancer = &state
	}
	return d
}

func (rt *Router) dumpView() ViewDump {
	d := ViewDump{
		Version: rt.store.Version(), Source: rt.changeSource.String(), Suspect: rt.recovery.suspect,
		Keys: []KeyDump{}, Refused: []RefusedDump{},
	}
	if !rt.changedAt.IsZero() {
		d.Age = rt.now.Sub(rt.changedAt).Round(time.Second).String()
	}
	for _, k := range rt.store.Versions() {
		value, _ := rt.store.Get(k.Key)
		d.Keys = append(d.Keys, KeyDump{Key: k.Key, Version: k.Version, Bytes: len(value.Content)})
	}
	for _, r := range rt.store.Refused() {
		d.Refused = append(d.Refused, RefusedDump{Key: r.Key, Version: r.Version, Cause: r.Err.Error()})
	}
	return d
}

func (rt *Router) dumpPlatform() PlatformDump {
	r := &rt.reader
	d := PlatformDump{Watching: rt.startup.phase == phaseServing && rt.isWatcher(rt.now), Cursor: r.cursor}
	if !r.contact.IsZero() {
		d.Contact = rt.now.Sub(r.contact).Round(time.Second).String()
		d.By = rt.membership.Name(r.contactBy)
	}
	return d
}

// Explain returns the routing decision for a flow. The result is empty if the
// instance uses another policy than the standard balancer.
func (rt *Router) Explain(k flow.Key) balancer.Explanation {
	if b, ok := rt.policy.(*balancer.Balancer); ok {
		return b.Explain(k)
	}
	return balancer.Explanation{}
}
