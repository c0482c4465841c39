package view

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// decodedValue is the decoded content of one value. The key of the value
// determines which field is set.
type decodedValue struct {
	declarations declaration.Declarations
	moves        inventory.Moves
	services     []inventory.Service
	instances    instancesValue
	upstreams    []inventory.Upstream
}

// servicesValue is the JSON content of KeyServices.
type servicesValue struct {
	Services []inventory.Service `json:"services"`
}

// instancesValue is the JSON content of a key with PrefixInstances.
type instancesValue struct {
	Region    string               `json:"region"`
	Instances []inventory.Instance `json:"instances"`
}

// upstreamsValue is the JSON content of a key with PrefixUpstreams.
type upstreamsValue struct {
	Upstreams []inventory.Upstream `json:"upstreams"`
}

// decode decodes and validates one value. The result depends only on the key
// and the bytes, so that all instances accept and refuse the same values.
func decode(key string, b []byte) (*decodedValue, error) {
	if len(b) > MaxValueBytes {
		return nil, &TooLargeError{Bytes: len(b)}
	}
	if err := checkKey(key); err != nil {
		return nil, err
	}
	c, err := &decodedValue{}, error(nil)
	switch {
	case key == KeyDeclarations:
		c.declarations, err = declaration.Parse(key, b)
	case key == KeyMoves:
		c.moves, err = inventory.ParseMoves(key, b)
	case key == KeyServices:
		err = decodeServices(b, c)
	case strings.HasPrefix(key, PrefixInstances):
		err = decodeInstances(b, c)
	case strings.HasPrefix(key, PrefixUpstreams):
		err = decodeUpstreams(b, c)
	}
	return c, err
}

func decodeServices(b []byte, c *decodedValue) error {
	var v servicesValue
	if err := decodeJSON(b, &v); err != nil {
		return err
	}
	c.services = v.Services
	return checkServices(v.Services)
}

func decodeInstances(b []byte, c *decodedValue) error {
	if err := decodeJSON(b, &c.instances); err != nil {
		return err
	}
	return checkInstances(c.instances.Instances)
}

func decodeUpstreams(b []byte, c *decodedValue) error {
	var v upstreamsValue
	if err := decodeJSON(b, &v); err != nil {
		return err
	}
	c.upstreams = v.Upstreams
	return checkUpstreams(v.Upstreams)
}

// decodeJSON decodes a single JSON object and rejects unknown fields and
// trailing data.
func decodeJSON(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &SyntaxError{Err: err}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{Field: "value", Value: "trailing data", Expected: "one JSON object"}
	}
	return nil
}
