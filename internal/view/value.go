package view

import "strings"

// Keys of the values that the platform (the control plane) publishes.
const (
	// KeyDeclarations is the key of the declared traffic classes in YAML.
	KeyDeclarations = "declarations"
	// KeyMoves is the key of the list, in YAML, of the data centres that operators have
	// taken out of service.
	KeyMoves = "moves"
	// KeyServices is the key of the list of services in JSON.
	KeyServices = "services"
	// PrefixInstances followed by the name of a data centre is the key of its
	// region and instances in JSON.
	PrefixInstances = "instances/"
	// PrefixUpstreams followed by the name of a data centre is the key of its
	// upstreams in JSON.
	PrefixUpstreams = "upstreams/"
)

// MaxValueBytes is the maximum size of a value that the platform stores, in bytes.
const MaxValueBytes = 1 << 20

// Value is one version of a published value, either complete or as a patch.
type Value struct {
	Key     string
	Version Version
	// Content is the encoded value, nil if Deleted. If Patch is set, it holds
	// only the bytes that replace a part of the base.
	Content []byte
	Deleted bool
	// Patch describes how to apply Content to the base, nil for a complete value.
	Patch *Patch
}

// KeyVersion is a key and a version of its value.
type KeyVersion struct {
	Key     string
	Version Version
}

// DataCentreOf returns the name of the data centre that a key belongs to, or an
// empty string for keys that apply to all data centres.
func DataCentreOf(key string) string {
	for _, prefix := range []string{PrefixInstances, PrefixUpstreams} {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			return name
		}
	}
	return ""
}

// checkKey returns an UnknownKeyError if key is not one of the supported keys.
func checkKey(key string) error {
	if key == KeyDeclarations || key == KeyMoves || key == KeyServices || DataCentreOf(key) != "" {
		return nil
	}
	return &UnknownKeyError{Key: key}
}
