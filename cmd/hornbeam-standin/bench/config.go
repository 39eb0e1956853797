package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeam-standin/fleet"
	"hornbeamcroft/cmd/hornbeam-standin/scorer"
	"hornbeamcroft/etcdclient"
	"hornbeamcroft/parser"
)

// targetChangeSeconds is the time within which an accepted change must be in force on every node (guarantee P8 of
// docs/design.md).
const targetChangeSeconds = 3.0

// changePause separates two changes, so that the nodes have finished the work for one before the next is written.
const changePause = 300 * time.Millisecond

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "measure the time from the acceptance of a document change until it is in force on the last node", Action: runConfig,
		Flags: append(commonFlags(), &cli.IntFlag{Name: "changes", Usage: "number of document changes", Value: 20}),
	}
}

func runConfig(ctx context.Context, cmd *cli.Command) error {
	d := fleet.Regie()
	d.Policy = fleet.PolicyFull
	f, stop, err := openFleet(ctx, cmd, d)
	if err != nil {
		return err
	}
	defer stop()
	store := &etcdclient.Client{Endpoints: []string{f.Store}, Timeout: 2 * time.Second}
	store.Init()
	changes := cmd.Int("changes")
	if cmd.Bool("quick") {
		changes = min(changes, 5)
	}
	var times []float64
	for range changes {
		t, err := measureChange(ctx, f, store)
		if err != nil {
			return err
		}
		times = append(times, t.Seconds())
		time.Sleep(changePause)
	}
	h := newHeader(cmd.Uint64("seed"), changes)
	w := table.NewWriter()
	w.SetTitle("Accepted change to in force on the last of %d nodes", len(f.Members))
	w.AppendHeader(table.Row{"Changes", "Median s", "Greatest s", "Target s"})
	w.AppendRow(table.Row{changes, fmt.Sprintf("%.3f", scorer.Median(times)), fmt.Sprintf("%.3f", slices.Max(times)), targetChangeSeconds})
	_, _ = fmt.Fprintln(cmd.Root().Writer, h.summary())
	_, _ = fmt.Fprintln(cmd.Root().Writer, w.Render())
	return writeJSON(cmd.String("out"), "config.json", struct {
		Header  Header    `json:"header"`
		Nodes   int       `json:"nodes"`
		Seconds []float64 `json:"seconds"`
	}{h, len(f.Members), times})
}

// measureChange edits one section of the document in the store and returns the time from the store's answer until every node
// reports the new revision. Each node is polled every 20 ms, so the result is up to 20 ms and one status request too long.
func measureChange(ctx context.Context, f *fleet.Fleet, store hornbeamcroft.Store) (time.Duration, error) {
	entry, err := store.Get(ctx, hornbeamcroft.KeyDocument)
	if err != nil {
		return 0, errors.Wrap(err, "read the document from the store")
	}
	doc, err := parser.Decode(entry.Value)
	if err != nil {
		return 0, err
	}
	doc.Revision++
	s := &doc.Sections[len(doc.Sections)-1]
	s.Generation++
	s.Writer = fmt.Sprintf("bench-%d", doc.Revision)
	value, err := parser.Encode(doc)
	if err != nil {
		return 0, err
	}
	result, err := store.Txn(ctx, []hornbeamcroft.Compare{{Key: entry.Key, ModRevision: entry.ModRevision}},
		[]hornbeamcroft.Put{{Key: entry.Key, Value: value}})
	if err != nil || !result.Succeeded {
		return 0, errors.Errorf("write the document to the store: accepted %t, error %v", result.Succeeded, err)
	}
	accepted := time.Now()
	return waitRevision(ctx, f, doc.Revision, accepted)
}

// waitRevision waits until every node reports at least the revision and returns the time since accepted.
func waitRevision(ctx context.Context, f *fleet.Fleet, revision uint64, accepted time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	for _, m := range f.Members {
		g.Go(func() error {
			return fleet.WaitFor(ctx, m.Name+" applies the document change", func() error {
				s, err := f.StatusOf(m)
				if err == nil && s.DocumentRevision < revision {
					err = errors.Errorf("document revision %d, want at least %d", s.DocumentRevision, revision)
				}
				return err
			})
		})
	}
	err := g.Wait()
	return time.Since(accepted), err
}
