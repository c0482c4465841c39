package view

import (
	"maps"
	"slices"
	"strings"

	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// MaxKeys is the maximum number of keys in a Store, including deleted ones.
const MaxKeys = 4096

// Store holds the newest accepted value of each key. It never replaces a value
// with an older one, whatever the source, so the configuration cannot revert to
// an earlier state. The zero value is empty and ready for use. It is not safe for
// concurrent use.
type Store struct {
	values  map[string]*entry
	refused map[string]*RefusedError
	view    *View
}

// entry is the stored value of a key. A deleted value has no content and is kept
// as a tombstone, so that an older value cannot be restored.
type entry struct {
	value        Value
	decodedValue *decodedValue
	// deltas are the most recent changes, oldest first.
	deltas []delta
	// mismatched is true if a patch on this value failed its hash check, so the
	// full value is requested from peers.
	mismatched bool
}

// Change is the result of applying a batch of values to a Store.
type Change struct {
	// Applied are the keys whose value changed, in the order of the batch.
	Applied []KeyVersion
	// Refused are the values that failed validation. The previous values stay in
	// force.
	Refused []*RefusedError
	// Stale counts the values that were not newer than the stored ones and the
	// patches that could not be applied.
	Stale int
}

// Put applies each value that is valid and newer than the stored one.
func (s *Store) Put(values ...Value) Change {
	var c Change
	var pending patchedValue
	for i, v := range values {
		switch {
		case !s.resolvePatch(&pending, v):
			c.Stale++
		case i+1 < len(values) && pending.isBaseOf(values[i+1]):
		default:
			s.putValue(pending.value, pending.deltas, &c)
		}
	}
	if len(c.Applied) > 0 {
		s.view = Compile(s.sources())
	}
	return c
}

// ApplySnapshot applies a complete snapshot of the platform's values. It deletes
// stored keys of an earlier generation that are missing from the snapshot: the
// platform was restored from a backup that does not contain them.
func (s *Store) ApplySnapshot(values ...Value) Change {
	generation := uint64(0)
	present := make(map[string]bool, len(values))
	for _, v := range values {
		generation = max(generation, v.Version.Generation)
		present[v.Key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		current := s.values[key].value
		if !present[key] && current.Version.Generation < generation {
			values = append(values, Value{Key: key, Version: Version{Generation: generation}, Deleted: true})
		}
	}
	return s.Put(values...)
}

// putValue stores a complete value if it is newer than the stored one and valid,
// and records the outcome in c.
func (s *Store) putValue(v Value, deltas []delta, c *Change) {
	current, ok := s.values[v.Key]
	if ok && v.Version.Compare(current.value.Version) <= 0 {
		c.Stale++
		return
	}
	if r, known := s.refused[v.Key]; known && r.Version == v.Version {
		return
	}
	v.Deleted = len(v.Content) == 0
	decoded, err := s.validate(v, ok)
	if err != nil {
		s.recordRefusal(&RefusedError{Key: v.Key, Version: v.Version, Err: err}, c)
		return
	}
	if s.values == nil {
		s.values = make(map[string]*entry)
	}
	s.values[v.Key] = &entry{value: v, decodedValue: decoded, deltas: current.appendDeltas(v, deltas)}
	if r, known := s.refused[v.Key]; known && r.Version.Compare(v.Version) < 0 {
		delete(s.refused, v.Key)
	}
	c.Applied = append(c.Applied, KeyVersion{Key: v.Key, Version: v.Version})
}

// validate decodes a value and checks its key. exists reports whether the key is
// already stored; new keys are limited to MaxKeys.
func (s *Store) validate(v Value, exists bool) (*decodedValue, error) {
	if !exists && len(s.values) >= MaxKeys {
		return nil, &UnknownKeyError{Key: v.Key}
	}
	if v.Deleted {
		return &decodedValue{}, checkKey(v.Key)
	}
	return decode(v.Key, v.Content)
}

// recordRefusal adds a refusal to c and keeps it if it is the newest of its key.
func (s *Store) recordRefusal(r *RefusedError, c *Change) {
	c.Refused = append(c.Refused, r)
	if checkKey(r.Key) != nil {
		return
	}
	if known, ok := s.refused[r.Key]; ok && known.Version.Compare(r.Version) > 0 {
		return
	}
	if s.refused == nil {
		s.refused = make(map[string]*RefusedError)
	}
	s.refused[r.Key] = r
}

// View returns the view compiled from the stored values, nil before the first
// value is applied.
func (s *Store) View() *View { return s.view }

// Version returns the newest version among the stored values.
func (s *Store) Version() Version {
	if s.view == nil {
		return Version{}
	}
	return s.view.Version
}

// Get returns the stored value of a key, which may be a tombstone.
func (s *Store) Get(key string) (Value, bool) {
	current, ok := s.values[key]
	if !ok {
		return Value{}, false
	}
	return current.value, true
}

// Refused returns the newest refused value of each key, ordered by key. A refusal
// is cleared once a newer value of the key is applied.
func (s *Store) Refused() []*RefusedError {
	list := slices.Collect(maps.Values(s.refused))
	slices.SortFunc(list, func(a, b *RefusedError) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Versions returns the versions of all stored values, ordered by key. It omits
// values whose content differs from that of a peer, so that the peer sends them in
// full.
func (s *Store) Versions() []KeyVersion {
	list := make([]KeyVersion, 0, len(s.values))
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if e := s.values[key]; !e.mismatched {
			list = append(list, KeyVersion{Key: key, Version: e.value.Version})
		}
	}
	return list
}

// ChangesSince returns the stored values that are newer than the versions in have,
// ordered by key. A key whose patch history reaches back to the version in have gets
// patches, unless they are larger than the full value. Other keys get the full value.
func (s *Store) ChangesSince(have []KeyVersion) []Value {
	versions := make(map[string]Version, len(have))
	for _, h := range have {
		versions[h.Key] = h.Version
	}
	var list []Value
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		e := s.values[key]
		if e.value.Version.Compare(versions[key]) > 0 {
			list = append(list, e.changesSince(versions[key])...)
		}
	}
	return list
}

// IsBehind reports whether any of the given versions is newer than the stored
// value and has not been refused.
func (s *Store) IsBehind(keys []KeyVersion) bool {
	return slices.ContainsFunc(keys, s.isKeyBehind)
}

func (s *Store) isKeyBehind(k KeyVersion) bool {
	if checkKey(k.Key) != nil {
		return false
	}
	if r, ok := s.refused[k.Key]; ok && r.Version == k.Version {
		return false
	}
	current, ok := s.values[k.Key]
	return !ok || k.Version.Compare(current.value.Version) > 0
}

// sources collects the decoded values as input for Compile, with data centres
// ordered by name.
func (s *Store) sources() Sources {
	var out Sources
	dataCentres := make(map[string]*inventory.DataCentre)
	dataCentre := func(key string) *inventory.DataCentre {
		name := DataCentreOf(key)
		if dataCentres[name] == nil {
			dataCentres[name] = &inventory.DataCentre{Name: name}
		}
		return dataCentres[name]
	}
	for key, e := range s.values {
		if e.value.Version.Compare(out.Version) > 0 {
			out.Version = e.value.Version
		}
		switch {
		case e.value.Deleted:
		case key == KeyDeclarations:
			out.Declarations = e.decodedValue.declarations
		case key == KeyMoves:
			out.Moves = e.decodedValue.moves
		case key == KeyServices:
			out.Services = e.decodedValue.services
		case strings.HasPrefix(key, PrefixInstances):
			d := dataCentre(key)
			d.Region, d.Instances = e.decodedValue.instances.Region, e.decodedValue.instances.Instances
		default:
			dataCentre(key).Upstreams = e.decodedValue.upstreams
		}
	}
	for _, name := range slices.Sorted(maps.Keys(dataCentres)) {
		out.DataCentres = append(out.DataCentres, *dataCentres[name])
	}
	return out
}
