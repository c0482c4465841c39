// Package inventory defines and parses the data that the platform publishes:
// services and their addresses, data centres with instances and upstreams, and
// the data centres that operators have taken out of service.
package inventory

import (
	"net/netip"
)

// Inventory is the content of an inventory file. The platform publishes it as one
// value for all services and two values per data centre: its instances and its
// upstreams.
type Inventory struct {
	Services    []Service    `yaml:"services" json:"services"`
	DataCentres []DataCentre `yaml:"data-centres" json:"data-centres"`
}

// Service is a load-balanced service with its public addresses.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Number is the Geneve VNI that identifies the service, 1 to 2^24-1.
	Number uint32 `yaml:"number" json:"number"`
	// Addresses are the public addresses of the service.
	Addresses []netip.Addr `yaml:"addresses" json:"addresses"`
}

// DataCentre is one data centre with its instances and upstreams.
type DataCentre struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
	// Instances are the load balancer instances in this data centre.
	Instances []Instance `yaml:"instances" json:"instances"`
	Upstreams []Upstream `yaml:"upstreams" json:"upstreams"`
}

// InstanceState is the state that the platform publishes for an instance. It can
// be stale.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is a load balancer instance as listed by the platform.
type Instance struct {
	Name string `yaml:"name" json:"name"`
	// Packets is the UDP address that receives Geneve from the fabric and from
	// other instances.
	Packets netip.AddrPort `yaml:"packets" json:"packets"`
	// Peers is the TCP address of the PeerService for other instances.
	Peers netip.AddrPort `yaml:"peers" json:"peers"`
	// Rack is the name of the failure domain, empty if unknown.
	Rack string `yaml:"rack,omitempty" json:"rack,omitempty"`
	// State is empty if not given, which means live.
	State InstanceState `yaml:"state,omitempty" json:"state,omitempty"`
}

// UpstreamState is the state that the platform publishes for an upstream. It can
// be stale.
type UpstreamState string

// States of an upstream.
const (
	UpstreamActive   UpstreamState = "active"
	UpstreamDraining UpstreamState = "draining"
)

// Upstream is one back end of a service.
type Upstream struct {
	// Name is unique in the deployment and never reused for another service.
	Name string `yaml:"name" json:"name"`
	// Service is the name of the service that the upstream belongs to.
	Service string `yaml:"service" json:"service"`
	// Packets is the UDP address at which the upstream's host decapsulates Geneve.
	Packets netip.AddrPort `yaml:"packets" json:"packets"`
	// Status is the TCP address of the health and load endpoints.
	Status netip.AddrPort `yaml:"status" json:"status"`
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int `yaml:"slots" json:"slots"`
	// Connections is the maximum number of open flows once the upstream is warm.
	Connections int `yaml:"connections" json:"connections"`
	// State is empty if not given, which means active.
	State UpstreamState `yaml:"state,omitempty" json:"state,omitempty"`
}

// Moves is the content of a moves file: the names of the data centres that
// operators have taken out of service.
type Moves struct {
	Out []string `yaml:"out" json:"out"`
}
