package command

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const explainUsage = `explain --address IP:PORT --flow SRC,DST [--protocol tcp|udp] [--json]
	Print where the packets of a flow are sent: the upstreams in search order,
	the owner of each, what the queried instance knows about the flow, and what
	it does with the next packet. SRC and DST are IP:PORT of the caller and of
	the service. To trace a flow across instances, query the listed owners.

	Examples:
		chervilhaven explain --address 10.20.0.11:7401 --flow 203.0.113.9:40001,192.0.2.10:7001
		chervilhaven explain --address 10.20.0.11:7401 --flow "[2001:db8::9]:40001,[2001:db8:1::10]:7001"

	Exit codes: 0 ok, 1 the request to the instance failed, 2 usage error.

`

// explainCommand implements the explain subcommand.
type explainCommand struct {
	output
	inspectFlags
	flow     string
	protocol string
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "print where the packets of a flow are sent and why" }
func (*explainCommand) Usage() string    { return explainUsage }

// SetFlags defines the flags of the subcommand.
func (e *explainCommand) SetFlags(f *flag.FlagSet) {
	e.redirectFlagErrors(f)
	e.defineFlags(f)
	f.StringVar(&e.flow, "flow", "", "the flow as `SRC,DST`, each IP:PORT")
	f.StringVar(&e.protocol, "protocol", "tcp", "`tcp` or udp")
}

// FlowError reports a --flow value that is not of the form SRC,DST.
type FlowError struct{ Value string }

// Error describes the found and the expected flag value.
func (e *FlowError) Error() string {
	return fmt.Sprintf("--flow: found %q, expected SRC,DST, each IP:PORT", e.Value)
}

// ProtocolError reports a --protocol value other than tcp and udp.
type ProtocolError struct{ Value string }

// Error describes the found and the expected flag value.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("--protocol: found %q, expected tcp or udp", e.Value)
}

// request builds the request from the flags.
func (e *explainCommand) request() (*peerv1.ExplainRequest, error) {
	source, destination, _ := strings.Cut(e.flow, ",")
	for _, address := range []string{source, destination} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, &FlowError{Value: e.flow}
		}
	}
	r := &peerv1.ExplainRequest{Source: source, Destination: destination}
	switch e.protocol {
	case "tcp":
		r.Protocol = uint32(flow.ProtocolTCP)
	case "udp":
		r.Protocol = uint32(flow.ProtocolUDP)
	default:
		return nil, &ProtocolError{Value: e.protocol}
	}
	return r, nil
}

// Execute sends the request to the instance and prints the response.
func (e *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return e.usageError(f, "takes no arguments")
	}
	client, err := e.client()
	if err != nil {
		return e.usageError(f, err.Error())
	}
	request, err := e.request()
	if err != nil {
		return e.usageError(f, err.Error())
	}
	response, err := withTimeout(ctx, func(ctx context.Context) (*connect.Response[peerv1.ExplainResponse], error) {
		return client.Explain(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return e.reportError(f, err)
	}
	if err := e.print(response.Msg.GetJson()); err != nil {
		return e.reportError(f, err)
	}
	return subcommands.ExitSuccess
}

func (e *explainCommand) print(content []byte) error {
	if e.json {
		return e.printJSON(content)
	}
	var x balancer.Explanation
	if err := json.Unmarshal(content, &x); err != nil {
		return errors.Wrap(err, "decode response of the instance")
	}
	fmt.Fprintf(e.out, "flow %s\nservice %s, class %s\nnext packet: %s\n",
		x.Flow, cmp.Or(x.Service, "none"), cmp.Or(x.Class, "none"), x.Verdict)
	s := section{title: "search order", header: []string{"place", "upstream", "data-centre", "owner", "known-here", "list"}}
	for i, p := range x.Places {
		list := "current"
		if p.Earlier {
			list = "earlier view"
		}
		s.rows = append(s.rows, []any{i + 1, p.Upstream, p.DataCentre, cmp.Or(p.Owner, "none"), p.Local, list})
	}
	return s.write(e.out)
}
