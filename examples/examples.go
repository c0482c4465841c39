// Package examples embeds the configuration files of the example deployments,
// which have the current size of the deployments they are modelled on.
package examples

import (
	"embed"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Names of the deployments.
const (
	Ocre     = "ocre"
	Vatulele = "vatulele"
)

//go:embed ocre/*.yaml vatulele/*.yaml handover/*.yaml
var files embed.FS

// Deployment holds the parsed files of an example deployment.
type Deployment struct {
	Name         string
	Declarations declaration.Declarations
	Inventory    inventory.Inventory
	Moves        inventory.Moves
	// DeclarationsYAML and MovesYAML are the file contents, which the platform
	// publishes unchanged.
	DeclarationsYAML []byte
	MovesYAML        []byte
}

// UnknownDeploymentError reports the name of a deployment that does not exist.
type UnknownDeploymentError struct{ Name string }

// Error lists the names of the existing deployments.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("no deployment %q, expected %s or %s", e.Name, Ocre, Vatulele)
}

// Load returns the deployment with the given name. To run it on a single host,
// replace the addresses in the inventory.
func Load(name string) (Deployment, error) {
	d := Deployment{Name: name}
	if name != Ocre && name != Vatulele {
		return d, &UnknownDeploymentError{Name: name}
	}
	content, err := Read(name + "/inventory.yaml")
	if err != nil {
		return d, err
	}
	if d.Inventory, err = inventory.Parse(name+"/inventory.yaml", content); err != nil {
		return d, errors.Wrap(err, "example inventory")
	}
	if d.DeclarationsYAML, err = Read(name + "/declarations.yaml"); err != nil {
		return d, err
	}
	d.Declarations, err = declaration.ParseWithServices(name+"/declarations.yaml", d.DeclarationsYAML, d.Inventory.ServiceNames())
	if err != nil {
		return d, errors.Wrap(err, "example declarations")
	}
	if d.MovesYAML, err = Read(name + "/moves.yaml"); err != nil {
		return d, err
	}
	d.Moves, err = inventory.ParseMovesWithDataCentres(name+"/moves.yaml", d.MovesYAML, d.Inventory.DataCentreNames())
	return d, errors.Wrap(err, "example moves")
}

// Read returns the content of an embedded file, such as
// ocre/settings-office-a.yaml.
func Read(path string) ([]byte, error) {
	content, err := files.ReadFile(path)
	return content, errors.Wrapf(err, "example %s", path)
}
