// Package baseline implements the two policies that the balancer is compared
// with: a stateless rendezvous hash, and a flow table per instance that places
// new flows by rendezvous hash. With both, the instance that receives a packet
// forwards it itself.
package baseline

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/rendezvous"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Stateless forwards each packet to the upstream of the current view that has
// the highest rendezvous score for its flow. The zero value drops all packets
// until a view arrives.
type Stateless struct {
	view    *view.View
	effects [1]balancer.Effect
}

// Apply implements balancer.Policy. The returned slice is valid until the next
// call.
func (s *Stateless) Apply(_ time.Time, event balancer.Event) []balancer.Effect {
	switch e := event.(type) {
	case *balancer.ViewChanged:
		s.view = e.View
	case *balancer.FabricPacket:
		s.effects[0] = s.decide(&e.Packet)
		return s.effects[:]
	}
	return nil
}

func (s *Stateless) decide(packet *flow.Packet) balancer.Effect {
	service, reason := lookup(s.view, packet)
	if service == nil {
		return drop(reason)
	}
	return forward(service, highestScore(service, packet.ID))
}

// lookup returns the service that the packet is addressed to, or nil and the
// reason to drop the packet.
func lookup(v *view.View, packet *flow.Packet) (*view.Service, balancer.Reason) {
	if v == nil {
		return nil, balancer.ReasonSuspectView
	}
	service, ok := v.Service(packet.Key.Destination.Addr())
	if !ok {
		return nil, balancer.ReasonNoService
	}
	if _, ok := service.Class(packet.Key.Destination.Port()); !ok {
		return nil, balancer.ReasonNoClass
	}
	return service, balancer.ReasonNone
}

// highestScore returns the upstream with the highest rendezvous score, nil if
// all are draining.
func highestScore(service *view.Service, id flow.ID) *view.Upstream {
	var best *view.Upstream
	var highest uint64
	for _, u := range service.Upstreams {
		if u.Draining {
			continue
		}
		if s := rendezvous.Score(id.High, u.ID); best == nil || s > highest {
			best, highest = u, s
		}
	}
	return best
}

func forward(service *view.Service, upstream *view.Upstream) balancer.Effect {
	if upstream == nil {
		return drop(balancer.ReasonNoRoom)
	}
	return balancer.Effect{
		Kind: balancer.Forward, Service: service.Number, Upstream: upstream.ID, Address: upstream.Packets,
	}
}

func drop(reason balancer.Reason) balancer.Effect {
	return balancer.Effect{Kind: balancer.Drop, Reason: reason}
}
