package geneve

import (
	"encoding/binary"

	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Layout of the Geneve header and of the relay option.
const (
	// OptionClass is the Geneve option class of the relay option.
	OptionClass uint16 = 0xFF00
	// OptionType is the type of the relay option within its class.
	OptionType uint8 = 0x01

	baseBytes         = 8
	optionHeaderBytes = 4
	// signedBytes is the size of the option data covered by the MAC.
	signedBytes = 52
	// optionBytes is the size of the option data including the MAC.
	optionBytes = signedBytes + 8

	// MaxHeaderBytes is the size of the largest header that an Encoder writes.
	MaxHeaderBytes = baseBytes + optionHeaderBytes + optionBytes
)

// relayOption is the decoded form of the relay option.
type relayOption struct {
	header relay.Header
	from   view.ID
	key    uint8
	mac    uint64
}

// encode writes the option data to b and appends the MAC over the data and the
// flow.
func (o *relayOption) encode(b []byte, keys *keyring.Keyring, f flow.ID) {
	binary.BigEndian.PutUint64(b[0:], o.header.Version.Generation)
	binary.BigEndian.PutUint64(b[8:], o.header.Version.Revision)
	binary.BigEndian.PutUint64(b[16:], uint64(o.header.Target))
	binary.BigEndian.PutUint64(b[24:], uint64(o.header.Candidate))
	binary.BigEndian.PutUint64(b[32:], uint64(o.from))
	b[40] = o.header.Visited
	b[41] = o.header.Hops
	b[42] = uint8(o.header.Flags)
	b[43] = keys.SigningID()
	binary.BigEndian.PutUint32(b[44:], o.header.Load.OpenFlows)
	binary.BigEndian.PutUint16(b[48:], o.header.Load.Upstreams)
	binary.BigEndian.PutUint16(b[50:], o.header.OrderHash)
	mac, _ := keys.PacketMAC(b[43], b[:signedBytes], f)
	binary.BigEndian.PutUint64(b[signedBytes:], mac)
}

// decode reads the option data from b without verifying the MAC.
func (o *relayOption) decode(b []byte) {
	o.header = relay.Header{
		Version: view.Version{
			Generation: binary.BigEndian.Uint64(b[0:]),
			Revision:   binary.BigEndian.Uint64(b[8:]),
		},
		Target:    view.ID(binary.BigEndian.Uint64(b[16:])),
		Candidate: view.ID(binary.BigEndian.Uint64(b[24:])),
		Visited:   b[40],
		Hops:      b[41],
		Flags:     relay.Flags(b[42]),
		OrderHash: binary.BigEndian.Uint16(b[50:]),
		Load: relay.Load{
			OpenFlows: binary.BigEndian.Uint32(b[44:]),
			Upstreams: binary.BigEndian.Uint16(b[48:]),
		},
	}
	o.from = view.ID(binary.BigEndian.Uint64(b[32:]))
	o.key = b[43]
	o.mac = binary.BigEndian.Uint64(b[signedBytes:])
}
