package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeamctl/collector"
)

func placeCommand() *cli.Command {
	return &cli.Command{
		Name:  "place",
		Usage: "show where a node on a platform would send a request now, and why",
		Description: "Asks one node at its metrics address and prints each decision on the request with its inputs and their age. No\n" +
			"request is sent, and no permit and no retry is spent. A tenant is given by its name; no key is sent.\n" +
			"The exit status is also 0 if the request would be refused. docs/OPERATIONS.md explains the output.\n\n" +
			"Example: hornbeamctl place --node 127.0.0.1:7300 --host shop.example --path /pay/1 --tenant acme --remaining 800ms",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "metrics `ADDRESS` of the node"},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: "path", Value: "/", Usage: "`PATH` of the request"},
			&cli.StringFlag{Name: "tenant", Usage: "`NAME` of the tenant; none without it"},
			&cli.StringFlag{Name: "importance", Usage: "`LEVEL` to use instead of that of the route: low, normal, high or critical"},
			&cli.DurationFlag{Name: "remaining", Usage: "`TIME` for which the caller waits; the timeout of the route without it"},
		},
		Action: place,
	}
}

func place(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	query, err := placeQuery(cmd)
	if err != nil {
		return err
	}
	node := cmd.String("node")
	c := collector.Collector{Addresses: []string{node}} // without the operators' key, which the address does not ask for
	answer := c.RequestAll(ctx, http.MethodGet, "/place?"+query.Encode())[0]
	if answer.Err != nil {
		return withCode(hornbeamcroft.CodeNodeUnreachable, errors.Wrap(answer.Err, node))
	}
	var p hornbeamcroft.Placement
	if err := json.Unmarshal(answer.Body, &p); err != nil || p.Node == "" {
		return withCode(hornbeamcroft.CodeNodeUnreachable, errors.Errorf("%s: the answer is not that of a node", node))
	}
	return writeOutput(cmd, p, func(w io.Writer) { writePlacement(w, p) })
}

// placeQuery returns the parameters of GET /place, or a usage error.
func placeQuery(cmd *cli.Command) (url.Values, error) {
	remaining, path, importance := cmd.Duration("remaining"), cmd.String("path"), cmd.String("importance")
	switch {
	case cmd.Args().Present():
		return nil, usageErrorf("place takes flags only, not %q", cmd.Args().First())
	case cmd.String("node") == "" || cmd.String("host") == "":
		return nil, usageErrorf("place needs --node and --host")
	case !strings.HasPrefix(path, "/"):
		return nil, usageErrorf("path %q: must begin with a slash", path)
	case cmd.IsSet("remaining") && remaining < time.Millisecond:
		return nil, usageErrorf("remaining time %s: must be at least 1ms", remaining)
	}
	q := url.Values{"host": {cmd.String("host")}, "path": {path}}
	if importance != "" {
		if _, err := hornbeamcroft.ParseImportance(importance); err != nil {
			return nil, usageErrorf("%v", err)
		}
		q.Set("importance", importance)
	}
	if tenant := cmd.String("tenant"); tenant != "" {
		q.Set("tenant", tenant)
	}
	if remaining > 0 {
		q.Set("remaining-ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	return q, nil
}
