// Package settings parses the settings file that an instance reads at start: its
// own addresses, its data centre, and the addresses of the platform and the fabric.
package settings

import (
	"cmp"
	"net/netip"
	"slices"

	"go.uber.org/zap/zapcore"

	"github.com/chervilhaven/chervilhaven/internal/yamlfile"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Defaults and ranges of the values in a settings file.
const (
	// DefaultMaxFlows is the default size of the flow table, in open flows.
	DefaultMaxFlows = 300_000
	maxFlows        = 1 << 26
	// DefaultControlBytesPerSecond is the default limit on the control traffic that
	// an instance sends, in bytes per second.
	DefaultControlBytesPerSecond = 4096
	minControlBytesPerSecond     = 512
	maxControlBytesPerSecond     = 1 << 24
	// SecretBytes is the size of a SipHash key in bytes.
	SecretBytes = 16
	// maxKeys allows for the current key, the next and the previous one during a
	// key rotation.
	maxKeys  = 3
	maxKeyID = 1<<8 - 1
)

// Settings is the content of one settings file.
type Settings struct {
	// Name identifies the instance in the platform's inventory.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data-centre"`
	// Packets is the UDP address that receives Geneve packets from the fabric and
	// from other instances.
	Packets netip.AddrPort `yaml:"packets"`
	// Peers is the TCP address that serves RPCs of other instances.
	Peers netip.AddrPort `yaml:"peers"`
	// Inspect is the TCP address that serves dump, explain and metrics to operators.
	Inspect netip.AddrPort `yaml:"inspect"`
	// Platform lists the addresses of the configuration service.
	Platform []netip.AddrPort `yaml:"platform"`
	// Bootstrap lists instances to fetch the configuration from at start, in
	// addition to those that the platform lists, so that an instance can start while
	// the platform is down.
	Bootstrap []netip.AddrPort `yaml:"bootstrap,omitempty"`
	// Fabric lists the addresses of the network fabric, which distributes the packets
	// of callers over the instances. Its packets are accepted from these addresses
	// only, and resets are sent to them.
	Fabric   []netip.AddrPort `yaml:"fabric"`
	LogLevel zapcore.Level    `yaml:"log-level,omitempty"`
	Limits   Limits           `yaml:"limits,omitempty"`
	// Keys authenticate packets relayed between instances: the first key signs, all
	// of them verify. Without keys, relayed packets are authenticated by their
	// source address alone.
	Keys []Key `yaml:"keys,omitempty"`
}

// Limits bounds the resources that an instance uses. Zero fields select the defaults.
type Limits struct {
	// MaxFlows is the maximum number of open flows in the flow table.
	MaxFlows int `yaml:"flows,omitempty"`
	// ControlBytesPerSecond is the maximum control traffic that the instance sends, in
	// bytes per second.
	ControlBytesPerSecond int `yaml:"control-bytes-per-second,omitempty"`
}

// Key is a secret that all instances share. ID names it on the wire and is at
// least 1.
type Key struct {
	ID     uint8             `yaml:"id"`
	Secret [SecretBytes]byte `yaml:"secret-hex"`
}

// Parse parses the content of a settings file and fills in defaults. Errors are of
// type yamlfile.Faults and list every fault; name is the file name in them.
func Parse(name string, content []byte) (Settings, error) {
	return yamlfile.Read(name, content, yamlfile.MaxBytes, decode)
}

// ParseWithInventory parses a settings file like Parse, and also rejects an
// instance that the inventory does not list or lists with other addresses.
func ParseWithInventory(name string, content []byte, i inventory.Inventory) (Settings, error) {
	return yamlfile.Read(name, content, yamlfile.MaxBytes, func(m *yamlfile.Map) Settings {
		s := decode(m)
		s.checkInventory(m, i)
		return s
	})
}

func decode(m *yamlfile.Map) Settings {
	var tcpAddresses yamlfile.UniqueChecker[netip.AddrPort]
	name, dataCentre, packets := m.Get("name"), m.Get("data-centre"), m.Get("packets")
	peers, inspect := m.Get("peers"), m.Get("inspect")
	s := Settings{
		Name:       name.Name(),
		DataCentre: dataCentre.Name(),
		Packets:    packets.AddrPort(),
		Peers:      peers.AddrPort(),
		Inspect:    inspect.ListenAddrPort(),
		Platform:   decodeAddresses(m.Get("platform")),
		Fabric:     decodeAddresses(m.Get("fabric")),
		Bootstrap:  yamlfile.Optional(m, "bootstrap", decodeAddresses),
		LogLevel:   yamlfile.Optional(m, "log-level", decodeLogLevel),
		Limits:     yamlfile.Optional(m, "limits", decodeLimits).withDefaults(),
		Keys:       yamlfile.Optional(m, "keys", decodeKeys),
	}
	tcpAddresses.Add(peers, s.Peers)
	tcpAddresses.Add(inspect, s.Inspect)
	return s
}

// checkInventory reports settings that contradict the inventory as faults of m.
func (s Settings) checkInventory(m *yamlfile.Map, i inventory.Inventory) {
	d := slices.IndexFunc(i.DataCentres, func(d inventory.DataCentre) bool { return d.Name == s.DataCentre })
	if d < 0 {
		m.Get("data-centre").AddUnresolved(s.DataCentre, "a data centre of the inventory")
		return
	}
	instances := i.DataCentres[d].Instances
	n := slices.IndexFunc(instances, func(n inventory.Instance) bool { return n.Name == s.Name })
	if n < 0 {
		m.Get("name").AddUnresolved(s.Name, "an instance of "+s.DataCentre+" in the inventory")
		return
	}
	checkAddress(m.Get("packets"), s.Packets, instances[n].Packets)
	checkAddress(m.Get("peers"), s.Peers, instances[n].Peers)
}

func checkAddress(v yamlfile.Value, found, listed netip.AddrPort) {
	if found.IsValid() && found != listed {
		v.AddFault(yamlfile.OutOfRange, "found "+found.String(), "the inventory's "+listed.String())
	}
}

func decodeAddresses(v yamlfile.Value) []netip.AddrPort {
	var seen yamlfile.UniqueChecker[netip.AddrPort]
	list := yamlfile.List(v, func(v yamlfile.Value) netip.AddrPort {
		a := v.AddrPort()
		seen.Add(v, a)
		return a
	})
	if list != nil && len(list) == 0 {
		v.AddFault(yamlfile.OutOfRange, "found an empty list", "one address or more")
	}
	return list
}

func decodeLogLevel(v yamlfile.Value) zapcore.Level {
	switch v.OneOf("debug", "info", "warn", "error") {
	case "debug":
		return zapcore.DebugLevel
	case "warn":
		return zapcore.WarnLevel
	case "error":
		return zapcore.ErrorLevel
	default:
		return zapcore.InfoLevel
	}
}

func decodeLimits(v yamlfile.Value) Limits {
	m := v.Map()
	return Limits{
		MaxFlows: yamlfile.Optional(m, "flows", func(v yamlfile.Value) int {
			return v.Int(1, maxFlows)
		}),
		ControlBytesPerSecond: yamlfile.Optional(m, "control-bytes-per-second", func(v yamlfile.Value) int {
			return v.Int(minControlBytesPerSecond, maxControlBytesPerSecond)
		}),
	}
}

func (l Limits) withDefaults() Limits {
	return Limits{
		MaxFlows:              cmp.Or(l.MaxFlows, DefaultMaxFlows),
		ControlBytesPerSecond: cmp.Or(l.ControlBytesPerSecond, DefaultControlBytesPerSecond),
	}
}

func decodeKeys(v yamlfile.Value) []Key {
	var ids yamlfile.UniqueChecker[uint8]
	list := yamlfile.List(v, func(v yamlfile.Value) Key {
		m := v.Map()
		id := m.Get("id")
		key := Key{ID: uint8(id.Int(1, maxKeyID))}
		copy(key.Secret[:], m.Get("secret-hex").Hex(SecretBytes))
		ids.Add(id, key.ID)
		return key
	})
	if len(list) > maxKeys {
		v.AddFault(yamlfile.OutOfRange, "found too many keys", "at most 3")
	}
	return list
}
