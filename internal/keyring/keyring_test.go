package keyring

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

func secret(b byte) []byte {
	s := make([]byte, MinSecretBytes)
	s[0] = b
	return s
}

func TestNewRejectsKeys(t *testing.T) {
	var short *ShortSecretError
	if _, err := New([]Key{{ID: 4, Secret: make([]byte, MinSecretBytes-1)}}); !errors.As(err, &short) {
		t.Errorf("short secret: got %v", err)
	}
	var duplicate *DuplicateKeyError
	if _, err := New([]Key{{ID: 4, Secret: secret(1)}, {ID: 4, Secret: secret(2)}}); !errors.As(err, &duplicate) {
		t.Errorf("duplicate ID: got %v", err)
	}
}

func TestMessageMAC(t *testing.T) {
	old, err := New([]Key{{ID: 1, Secret: secret(1)}})
	if err != nil {
		t.Fatal(err)
	}
	both, err := New([]Key{{ID: 2, Secret: secret(2)}, {ID: 1, Secret: secret(1)}})
	if err != nil {
		t.Fatal(err)
	}
	mac, _ := old.MessageMAC(1, []byte("ab"), []byte("c"))
	tests := []struct {
		name  string
		ring  *Keyring
		id    uint8
		parts [][]byte
		want  bool
	}{
		{"same", old, 1, [][]byte{[]byte("ab"), []byte("c")}, true},
		{"key rotated, old key still accepted", both, 1, [][]byte{[]byte("ab"), []byte("c")}, true},
		{"wrong key", both, 2, [][]byte{[]byte("ab"), []byte("c")}, false},
		{"byte moved between parts", old, 1, [][]byte{[]byte("a"), []byte("bc")}, false},
		{"unknown key", old, 9, [][]byte{[]byte("ab"), []byte("c")}, false},
		{"no keys", nil, 1, [][]byte{[]byte("ab"), []byte("c")}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, tt.ring.VerifyMessage(tt.id, mac, tt.parts...)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPacketMACDependsOnFlowAndKey(t *testing.T) {
	r, err := New([]Key{{ID: 2, Secret: secret(2)}, {ID: 1, Secret: secret(1)}})
	if err != nil {
		t.Fatal(err)
	}
	base, _ := r.PacketMAC(1, []byte("option"), flow.ID{High: 1, Low: 2})
	for name, other := range map[string]func() (uint64, bool){
		"flow": func() (uint64, bool) { return r.PacketMAC(1, []byte("option"), flow.ID{High: 1, Low: 3}) },
		"key":  func() (uint64, bool) { return r.PacketMAC(2, []byte("option"), flow.ID{High: 1, Low: 2}) },
		"data": func() (uint64, bool) { return r.PacketMAC(1, []byte("Option"), flow.ID{High: 1, Low: 2}) },
	} {
		if mac, ok := other(); !ok || mac == base {
			t.Errorf("changing the %s does not change the MAC", name)
		}
	}
}
