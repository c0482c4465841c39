package capacity

import (
	"bytes"
	"compress/gzip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// published measures the values that the platform stores.
func published() ([]Slope, error) {
	var upstreams, compressed, services, classes, instances, parse []Point
	for _, count := range []int{100, 1000, 2300, 7000} {
		p := fleetSize{dataCentres: 1, services: count, instances: count, upstreams: count}
		n := float64(count)
		values := make(map[string]view.Value)
		for _, v := range p.values() {
			values[v.Key] = v
		}
		list := values[view.PrefixUpstreams+dataCentreName(0)].Content
		zipped, err := compress(list)
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, Point{n, float64(len(list))})
		compressed = append(compressed, Point{n, float64(zipped)})
		services = append(services, Point{n, float64(len(values[view.KeyServices].Content))})
		instances = append(instances, Point{n, float64(len(values[view.PrefixInstances+dataCentreName(0)].Content))})
		declared := values[view.KeyDeclarations]
		classes = append(classes, Point{n, float64(len(declared.Content))})
		spent := fastest(timedRuns, func() {
			store := &view.Store{}
			store.Put(declared)
		})
		parse = append(parse, Point{n, float64(spent) / float64(time.Microsecond)})
	}
	return []Slope{
		fit("published upstreams of a data centre", "bytes", "upstream", upstreams),
		fit("the same, gzip", "bytes", "upstream", compressed),
		fit("published instances of a data centre", "bytes", "instance", instances),
		fit("published services, two addresses each", "bytes", "service", services),
		fit("published declarations", "bytes", "class", classes),
		fit("declarations parsed", "us", "class", parse),
	}, nil
}

func compress(content []byte) (int, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(content); err != nil {
		return 0, err
	}
	err := w.Close()
	return b.Len(), err
}
