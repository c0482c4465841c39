// Package keyring authenticates packets and messages between instances with
// pre-shared keys from the settings. The first key signs and all keys verify,
// so keys can be rotated one instance at a time.
package keyring

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/dchest/siphash"

	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const (
	// MinSecretBytes is the shortest secret that New accepts.
	MinSecretBytes = 16
	// MessageMACBytes is the size of the MAC of a message.
	MessageMACBytes = sha256.Size

	packetLabel  = "chervilhaven packet"
	messageLabel = "chervilhaven message"
	// maxPacketData is the maximum size in bytes of the data passed to
	// PacketMAC, excluding the flow ID.
	maxPacketData = 64
	flowBytes     = 16
)

// Key is one shared secret. ID identifies the key on the wire.
type Key struct {
	ID     uint8
	Secret []byte
}

// ShortSecretError reports a secret shorter than MinSecretBytes.
type ShortSecretError struct {
	ID    uint8
	Bytes int
}

func (e *ShortSecretError) Error() string {
	return fmt.Sprintf("key %d: secret has %d bytes, expected at least %d", e.ID, e.Bytes, MinSecretBytes)
}

// DuplicateKeyError reports two keys with the same ID.
type DuplicateKeyError struct{ ID uint8 }

func (e *DuplicateKeyError) Error() string {
	return fmt.Sprintf("key %d: duplicate key ID", e.ID)
}

// Keyring holds the keys in use. A nil or zero Keyring has no keys and turns
// authentication off. A Keyring is immutable and safe for concurrent use.
type Keyring struct {
	keys []derivedKey
}

// derivedKey holds a separate secret for each use, so that a weakness in the
// 64-bit packet MAC does not affect messages.
type derivedKey struct {
	id       uint8
	k0, k1   uint64
	messages []byte
}

// New returns a keyring with the given keys. The first key signs. New returns a
// ShortSecretError or DuplicateKeyError if a key is invalid.
func New(keys []Key) (*Keyring, error) {
	r := &Keyring{}
	for _, k := range keys {
		if len(k.Secret) < MinSecretBytes {
			return nil, &ShortSecretError{ID: k.ID, Bytes: len(k.Secret)}
		}
		if _, ok := r.find(k.ID); ok {
			return nil, &DuplicateKeyError{ID: k.ID}
		}
		packets := derive(k.Secret, packetLabel)
		r.keys = append(r.keys, derivedKey{
			id:       k.ID,
			k0:       binary.LittleEndian.Uint64(packets[0:8]),
			k1:       binary.LittleEndian.Uint64(packets[8:16]),
			messages: derive(k.Secret, messageLabel),
		})
	}
	return r, nil
}

// Empty reports whether there are no keys, in which case authentication is off.
func (r *Keyring) Empty() bool {
	return r == nil || len(r.keys) == 0
}

// SigningID returns the ID of the signing key, or zero if there are no keys.
func (r *Keyring) SigningID() uint8 {
	if r.Empty() {
		return 0
	}
	return r.keys[0].id
}

// PacketMAC returns the SipHash-2-4 of data and the flow ID under the key with
// the given ID. It returns false if there is no such key or if data is too long.
func (r *Keyring) PacketMAC(id uint8, data []byte, f flow.ID) (uint64, bool) {
	k, ok := r.find(id)
	if !ok || len(data) > maxPacketData {
		return 0, false
	}
	var b [maxPacketData + flowBytes]byte
	n := copy(b[:], data)
	binary.BigEndian.PutUint64(b[n:], f.High)
	binary.BigEndian.PutUint64(b[n+8:], f.Low)
	return siphash.Hash(k.k0, k.k1, b[:n+flowBytes]), true
}

// MessageMAC returns the HMAC-SHA256 of the parts under the key with the given
// ID, or false if there is no such key.
func (r *Keyring) MessageMAC(id uint8, parts ...[]byte) ([]byte, bool) {
	k, ok := r.find(id)
	if !ok {
		return nil, false
	}
	h := hmac.New(sha256.New, k.messages)
	var length [8]byte
	for _, p := range parts {
		// The length prefix makes the boundaries between parts unambiguous.
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return h.Sum(nil), true
}

// VerifyMessage reports whether mac is the MAC of the parts under the key with
// the given ID. The comparison takes constant time.
func (r *Keyring) VerifyMessage(id uint8, mac []byte, parts ...[]byte) bool {
	want, ok := r.MessageMAC(id, parts...)
	return ok && hmac.Equal(want, mac)
}

func (r *Keyring) find(id uint8) (*derivedKey, bool) {
	if r == nil {
		return nil, false
	}
	for i := range r.keys {
		if r.keys[i].id == id {
			return &r.keys[i], true
		}
	}
	return nil, false
}

func derive(secret []byte, label string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(label))
	return h.Sum(nil)
}
