package measure

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Sizes that both deployments share.
const (
	instancesPerDataCentre = 2
	upstreamSlots          = 2
	upstreamConnections    = 2000
	servicePort            = 6081
	statusPort             = 8080
)

// Numbers and ports of the two services and their traffic classes.
const (
	deskNumber   = 1
	bulkNumber   = 2
	queryPort    = 7001
	postingPort  = 7002
	documentPort = 7003
)

// Deployment is the fleet of one company and the traffic of its callers.
type Deployment struct {
	Name string
	// Desk is the name of the service for queries and postings, Bulk that of
	// the service for documents.
	Desk, Bulk string
	// DataCentres are ordered by their number of Desk upstreams, the largest
	// first. Spread holds these numbers.
	DataCentres []string
	Spread      []int
	// Queries, Sessions, Postings and Documents are rates of new flows per
	// second.
	Queries, Sessions, Postings, Documents float64
	// AnswerWithin is the target response time of queries and postings.
	AnswerWithin time.Duration
}

// Ocre returns the deployment of Tierra Ocre Consolidada, with many tickets and
// long certificates.
func Ocre() Deployment {
	return Deployment{
		Name: "ocre", Desk: "lot-ledger", Bulk: "assay-desk",
		DataCentres: []string{"pit-a", "pit-b", "pit-c", "office"}, Spread: []int{4, 4, 4, 2},
		Queries: 90, Sessions: 30, Postings: 80, Documents: 16,
		AnswerWithin: 300 * time.Millisecond,
	}
}

// Vatulele returns the deployment of Vatulele Mutual, with mostly live
// confirmations.
func Vatulele() Deployment {
	return Deployment{
		Name: "vatulele", Desk: "policy-desk", Bulk: "statements",
		DataCentres: []string{"suva-a", "suva-b", "suva-c", "suva-d"}, Spread: []int{4, 4, 3, 3},
		Queries: 160, Sessions: 30, Postings: 40, Documents: 16,
		AnswerWithin: 300 * time.Millisecond,
	}
}

// sources returns the configuration that the platform publishes at the start.
func (d Deployment) sources() view.Sources {
	s := view.Sources{
		Version: view.Version{Generation: 1, Revision: 1},
		Declarations: declaration.Declarations{Classes: []declaration.Class{
			{Name: "query", Service: d.Desk, Port: queryPort, Target: declaration.Target{AnswerWithin: d.AnswerWithin, Share: 0.99}},
			{Name: "posting", Service: d.Desk, Port: postingPort, Target: declaration.Target{AnswerWithin: d.AnswerWithin, Share: 0.99, Once: true}},
			{Name: "document", Service: d.Bulk, Port: documentPort, Target: declaration.Target{FinishWithin: 2 * time.Minute, Share: 0.95, Whole: true}},
		}},
		Services: []inventory.Service{
			{Name: d.Desk, Number: deskNumber, Addresses: []netip.Addr{serviceAddress(deskNumber)}},
			{Name: d.Bulk, Number: bulkNumber, Addresses: []netip.Addr{serviceAddress(bulkNumber)}},
		},
	}
	for n, name := range d.DataCentres {
		dataCentre := inventory.DataCentre{Name: name, Region: d.Name}
		for i := range instancesPerDataCentre {
			address := netip.AddrFrom4([4]byte{10, byte(n + 1), 0, byte(i + 1)})
			dataCentre.Instances = append(dataCentre.Instances, inventory.Instance{
				Name:    fmt.Sprintf("%s-entry-%d", name, i+1),
				Packets: netip.AddrPortFrom(address, servicePort), Peers: netip.AddrPortFrom(address, statusPort),
				Rack: fmt.Sprintf("%s-rack-%d", name, i+1),
			})
		}
		for i := range d.Spread[n] {
			dataCentre.Upstreams = append(dataCentre.Upstreams, newUpstream(name, n, d.Desk, deskNumber, i))
		}
		dataCentre.Upstreams = append(dataCentre.Upstreams, newUpstream(name, n, d.Bulk, bulkNumber, 0))
		s.DataCentres = append(s.DataCentres, dataCentre)
	}
	return s
}

// serviceAddress returns the public address of the service.
func serviceAddress(number uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{198, 51, 100, byte(number)})
}

// newUpstream returns the inventory entry of an upstream. The index counts the
// upstreams of the same service in the data centre.
func newUpstream(dataCentre string, n int, service string, number uint32, index int) inventory.Upstream {
	address := netip.AddrFrom4([4]byte{10, byte(n + 1), byte(number), byte(index + 1)})
	return inventory.Upstream{
		Name:    fmt.Sprintf("%s-%s-%d", dataCentre, service, index+1),
		Service: service,
		Packets: netip.AddrPortFrom(address, servicePort), Status: netip.AddrPortFrom(address, statusPort),
		Slots: upstreamSlots, Connections: upstreamConnections,
	}
}
