package examples_test

import (
	"io/fs"
	"os"
	"path"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/examples"
	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

func load(t *testing.T, name string) examples.Deployment {
	t.Helper()
	d, err := examples.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// deploymentSize holds the required size of an example deployment. Upstreams are
// counted per service; Slots and Connections are the sets of values in use.
type deploymentSize struct {
	DataCentres, Instances int
	Upstreams              map[string]int
	Slots, Connections     map[int]bool
}

func TestDeploymentSizes(t *testing.T) {
	want := map[string]deploymentSize{
		examples.Ocre: {
			DataCentres: 4, Instances: 8, Upstreams: map[string]int{"lot-ledger": 14, "assay-desk": 4},
			Slots: map[int]bool{2: true}, Connections: map[int]bool{2000: true},
		},
		examples.Vatulele: {
			DataCentres: 4, Instances: 8, Upstreams: map[string]int{"policy-desk": 14, "statement-generation": 4},
			Slots: map[int]bool{2: true}, Connections: map[int]bool{2000: true},
		},
	}
	got := make(map[string]deploymentSize)
	for name := range want {
		s := deploymentSize{Upstreams: map[string]int{}, Slots: map[int]bool{}, Connections: map[int]bool{}}
		for _, d := range load(t, name).Inventory.DataCentres {
			s.DataCentres++
			s.Instances += len(d.Instances)
			for _, u := range d.Upstreams {
				s.Upstreams[u.Service]++
				s.Slots[u.Slots], s.Connections[u.Connections] = true, true
			}
		}
		got[name] = s
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sizes (-want +got):\n%s", diff)
	}
}

// The addresses in each settings file must match the inventory entry of the
// instance.
func TestSettingsAgreeWithInventory(t *testing.T) {
	for _, name := range []string{examples.Ocre, examples.Vatulele} {
		want := make(map[string]inventory.Instance)
		for _, d := range load(t, name).Inventory.DataCentres {
			for _, i := range d.Instances {
				want[d.Name+"/"+i.Name] = inventory.Instance{Packets: i.Packets, Peers: i.Peers}
			}
		}
		got := make(map[string]inventory.Instance)
		entries, err := fs.Glob(os.DirFS(name), "settings-*.yaml")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range entries {
			content, err := examples.Read(path.Join(name, file))
			if err != nil {
				t.Fatal(err)
			}
			s, err := settings.Parse(file, content)
			if err != nil {
				t.Fatal(err)
			}
			if want := strings.TrimSuffix(strings.TrimPrefix(file, "settings-"), ".yaml"); s.Name != want {
				t.Errorf("%s contains the settings of %s", file, s.Name)
			}
			got[s.DataCentre+"/"+s.Name] = inventory.Instance{Packets: s.Packets, Peers: s.Peers}
		}
		if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b inventory.Instance) bool { return a == b })); diff != "" {
			t.Errorf("%s (-inventory +settings):\n%s", name, diff)
		}
	}
}

// compiledClasses returns the classes of a compiled view by service name.
func compiledClasses(d declaration.Declarations, i inventory.Inventory) map[string][]view.Class {
	classes := make(map[string][]view.Class)
	for _, s := range view.Compile(view.Sources{Declarations: d, Services: i.Services, DataCentres: i.DataCentres}).Services {
		for _, c := range s.Classes {
			classes[s.Name] = append(classes[s.Name], *c)
		}
	}
	return classes
}

// When the services move to an operator with different data centres, addresses
// and service numbers, the unchanged declarations file yields the same classes.
func TestDeclarationsSurviveChangeOfOperator(t *testing.T) {
	before := load(t, examples.Ocre)
	content, err := examples.Read("handover/inventory.yaml")
	if err != nil {
		t.Fatal(err)
	}
	next, err := inventory.Parse("handover/inventory.yaml", content)
	if err != nil {
		t.Fatal(err)
	}
	after, err := declaration.ParseWithServices("ocre/declarations.yaml", before.DeclarationsYAML, next.ServiceNames())
	if err != nil {
		t.Fatal(err)
	}
	want := compiledClasses(before.Declarations, before.Inventory)
	if len(want) != len(before.Inventory.Services) {
		t.Fatalf("got classes of %d services, want all services", len(want))
	}
	if diff := cmp.Diff(want, compiledClasses(after, next)); diff != "" {
		t.Errorf("classes (-before +after):\n%s", diff)
	}
	if diff := cmp.Diff(before.Inventory.DataCentreNames(), next.DataCentreNames()); diff == "" {
		t.Error("both inventories have the same data centres")
	}
}

func TestUnknownDeployment(t *testing.T) {
	_, err := examples.Load("atlantis")
	if diff := cmp.Diff(&examples.UnknownDeploymentError{Name: "atlantis"}, err); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}
