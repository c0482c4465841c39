package yamlfile

import "fmt"

// UniqueChecker reports duplicate values. The zero value is ready to use.
type UniqueChecker[K comparable] struct {
	first map[K]int
}

// Add records the key and reports a fault at v if it was added before. A zero key
// is ignored because the invalid value it stands for has already been reported.
func (u *UniqueChecker[K]) Add(v Value, key K) {
	var zero K
	if key == zero {
		return
	}
	if u.first == nil {
		u.first = make(map[K]int)
	}
	if line, ok := u.first[key]; ok {
		v.AddFault(Duplicate, fmt.Sprintf("found duplicate %v", key), fmt.Sprintf("unique values, first on line %d", line))
		return
	}
	u.first[key] = v.Line()
}

// Has reports whether the key was added.
func (u *UniqueChecker[K]) Has(key K) bool {
	_, ok := u.first[key]
	return ok
}
