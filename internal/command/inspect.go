package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1/peerv1connect"
)

// inspectTimeout is the timeout of one request to an instance.
const inspectTimeout = 10 * time.Second

// inspectFlags are the common flags of subcommands that query an instance.
type inspectFlags struct {
	address string
	json    bool
}

func (i *inspectFlags) defineFlags(f *flag.FlagSet) {
	f.StringVar(&i.address, "address", "", "inspect `IP:PORT` of the instance")
	f.BoolVar(&i.json, "json", false, "print the response as one JSON object")
}

// AddressError reports a flag value that is not an IP:PORT address.
type AddressError struct {
	Flag  string
	Value string
}

// Error describes the flag and the expected format.
func (e *AddressError) Error() string {
	return fmt.Sprintf("--%s: found %q, expected IP:PORT such as 10.0.0.1:7401", e.Flag, e.Value)
}

// client returns a client for the instance selected by the flags.
func (i *inspectFlags) client() (peerv1connect.InspectServiceClient, error) {
	address, err := netip.ParseAddrPort(i.address)
	if err != nil {
		return nil, &AddressError{Flag: "address", Value: i.address}
	}
	return peerv1connect.NewInspectServiceClient(http.DefaultClient, "http://"+address.String()), nil
}

// withTimeout runs call with a context that expires after inspectTimeout.
func withTimeout[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	return call(ctx)
}

// printJSON writes a JSON response with indentation.
func (o output) printJSON(content []byte) error {
	var b bytes.Buffer
	if err := json.Indent(&b, content, "", "  "); err != nil {
		return errors.Wrap(err, "decode response of the instance")
	}
	fmt.Fprintln(o.out, b.String())
	return nil
}
