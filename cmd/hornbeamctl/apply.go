package main

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/cmd/hornbeamctl/collector"
	"hornbeamcroft/editor"
	"hornbeamcroft/parser"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "write sections of a file to the document",
		ArgsUsage: "FILE [SECTION...]",
		Description: `Writes the named sections, or all sections of the file that belong to OWNER. The whole document is checked
before it is written. If another edit of the same section was accepted meanwhile, nothing is written and the
difference is shown. A section that begins with the comment "; generation N", as "show --text" writes it, is also
refused if the section has another generation by now.

The outcome is accepted (exit status 0), refused (1, 3, 5, 6, 7) or unknown (4). After "unknown", or after the
command was interrupted, repeat it with the --writer ID that it printed: an accepted edit is not written twice.

Examples:
   hornbeamctl apply document.ini --as cash
   hornbeamctl apply document.ini "service cash-office" --as cash --wait 3s`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "as", Required: true, Usage: "the `OWNER` on whose behalf the edit is made"},
			&cli.StringSliceFlag{Name: "remove", Usage: "remove this `SECTION`; repeat for several"},
			&cli.StringFlag{Name: "writer", Usage: "writer `ID` of the earlier apply that this command repeats"},
			&cli.BoolFlag{Name: "without-nodes", Usage: "write even if no node answers to tell whether the store is behind; for the first document"},
			&cli.BoolFlag{Name: "accept-unproven", Usage: "edit a document whose proof is missing or wrong, and write a valid proof; review the document first"},
			&cli.DurationFlag{Name: "wait", Usage: "wait up to this `TIME` until the edit is in force on all nodes that answer"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	edit, repeat, err := readEdit(cmd)
	if err != nil {
		return err
	}
	s, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	client, err := s.storeClient()
	if err != nil {
		return err
	}
	highest, err := highestRevisionInForce(ctx, cmd, s)
	if err != nil {
		return err
	}
	writeLine(cmd.Root().ErrWriter, "apply: writer %s", edit.Writer)
	e := &editor.Editor{Edit: edit, Check: applier.Check, HighestRevision: highest}
	r := (&applier.Applier{Store: client, Signer: s.signer(), AcceptUnproven: cmd.Bool("accept-unproven")}).Apply(ctx, e, repeat)
	return writeApplyResult(ctx, cmd, s, r)
}

// highestRevisionInForce returns the highest document revision that any node has in force, or 0 if no node answers and
// --without-nodes is set. Without that flag it fails if no node answers, because a store that holds an older document
// than the nodes would go unnoticed.
func highestRevisionInForce(ctx context.Context, cmd *cli.Command, s settings) (uint64, error) {
	statuses := s.collector().Statuses(ctx)
	highest, heard := collector.Highest(statuses)
	if heard == 0 && !cmd.Bool("without-nodes") {
		return 0, withCode(hornbeamcroft.CodeStoreBehind, errors.New(
			"no node answered, so the store may hold an older document than the nodes; set --nodes, or --without-nodes for the first document"))
	}
	if names := collector.Diverged(statuses); len(names) > 0 {
		// The new edit does not block the merge: both edits are kept unless they change the same section.
		writeLine(cmd.Root().ErrWriter, "apply: accepted edits are missing from the store's document and are being merged by %s",
			strings.Join(names, ", "))
	}
	return highest, nil
}

// readEdit builds the edit from the file and the flags. The second result is true if --writer says that the edit repeats
// an earlier one. Without it, the edit gets a new writer ID.
func readEdit(cmd *cli.Command) (editor.Edit, bool, error) {
	edit := editor.Edit{Owner: cmd.String("as"), Writer: cmd.String("writer"), Remove: cmd.StringSlice("remove")}
	repeat := edit.Writer != ""
	if !repeat {
		edit.Writer = uuid.Must(uuid.NewV7()).String()
	}
	if cmd.Args().Len() == 0 && len(edit.Remove) > 0 {
		return edit, repeat, nil
	}
	sections, err := readSections(cmd)
	if err != nil {
		return edit, repeat, err
	}
	names := cmd.Args().Tail()
	if edit.Write, err = selectSections(sections, names); err != nil {
		return edit, repeat, err
	}
	if len(names) == 0 {
		edit.Write = slices.DeleteFunc(edit.Write, func(s hornbeamcroft.Section) bool { return s.Owner != edit.Owner })
	}
	if len(edit.Write)+len(edit.Remove) == 0 {
		return edit, repeat, usageErrorf("the file has no section of owner %q", edit.Owner)
	}
	return edit, repeat, nil
}

// applyJSON is the JSON output of the apply command.
type applyJSON struct {
	codeJSON
	Revision  uint64            `json:"revision,omitempty"`
	Writer    string            `json:"writer"`
	Conflicts []editor.Conflict `json:"conflicts,omitempty"`
	Reason    string            `json:"reason,omitempty"`
	Problems  parser.Problems   `json:"problems,omitempty"`
	InForce   *inForceJSON      `json:"in-force,omitempty"`
}

// inForceJSON counts and lists the nodes by whether they have a document revision in force.
type inForceJSON struct {
	Heard    int      `json:"heard"`
	InForce  int      `json:"in-force"`
	Behind   []string `json:"behind,omitempty"`
	NotHeard []string `json:"not-heard,omitempty"`
}

// writeApplyResult writes the result of an edit, after waiting as --wait says if it was accepted. It returns an error
// with the result code if the edit was not accepted.
func writeApplyResult(ctx context.Context, cmd *cli.Command, s settings, r editor.Result) error {
	out := applyJSON{codeJSON: newCodeJSON(r.Code), Revision: r.Revision, Writer: r.Writer, Conflicts: r.Conflicts}
	out.Outcome = r.Outcome().String()
	if r.Err != nil {
		out.Reason = r.Err.Error()
	}
	if r.Code == hornbeamcroft.CodeInvalid {
		out.Problems = parser.AsProblems(r.Err)
	}
	if wait := cmd.Duration("wait"); wait > 0 && r.Outcome() == editor.Accepted {
		f := waitInForce(ctx, s.collector(), r.Revision, wait)
		out.InForce = &f
	}
	if err := writeOutput(cmd, out, out.writeText); err != nil {
		return err
	}
	if r.Outcome() == editor.Accepted {
		return nil
	}
	if r.Err == nil {
		r.Err = errors.New(r.Code.Info().Meaning)
	}
	return withCode(r.Code, r.Err)
}

func (a applyJSON) writeText(w io.Writer) {
	writeLine(w, "%s: %s", a.Outcome, a.Meaning)
	if a.Revision > 0 {
		writeLine(w, "revision %d", a.Revision)
	}
	for _, c := range a.Conflicts {
		writeLine(w, "conflict in [%s], generation %d by writer %s:\n%s", c.Section, c.Theirs.Generation, c.Theirs.Writer, c.Difference)
	}
	if a.Outcome == editor.Unknown.String() {
		writeLine(w, "repeat the command with --writer %s; an accepted edit is not written twice", a.Writer)
	}
	if a.InForce != nil {
		writeLine(w, "%s", a.InForce)
	}
}

// String returns the numbers of nodes on one line, followed by one line for each node that is behind or did not answer.
func (f inForceJSON) String() string {
	var b strings.Builder
	writeLine(&b, "in force on %d of %d nodes heard", f.InForce, f.Heard)
	for _, name := range f.Behind {
		writeLine(&b, "  behind: %s", name)
	}
	for _, address := range f.NotHeard {
		writeLine(&b, "  not heard: %s", address)
	}
	return strings.TrimRight(b.String(), "\n")
}

// pollInterval is the pause between two rounds of status requests in waitInForce.
const pollInterval = 200 * time.Millisecond

// waitInForce requests the status of all nodes until each node that answers has the revision in force, or until wait or
// the timeout of ctx is over. A round of requests that has begun is completed.
func waitInForce(ctx context.Context, c *collector.Collector, revision uint64, wait time.Duration) inForceJSON {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		f := newInForceJSON(c.Statuses(context.WithoutCancel(ctx)), revision)
		if len(f.Behind) == 0 {
			return f
		}
		select {
		case <-ctx.Done():
			return f
		case <-time.After(pollInterval):
		}
	}
}

// newInForceJSON sorts the nodes by whether they answered and have the revision, or a later one, in force.
func newInForceJSON(statuses []collector.Status, revision uint64) inForceJSON {
	var f inForceJSON
	for _, s := range statuses {
		switch {
		case !s.Heard:
			f.NotHeard = append(f.NotHeard, s.Address)
			continue
		case s.Revision >= revision:
			f.InForce++
		default:
			f.Behind = append(f.Behind, s.Name)
		}
		f.Heard++
	}
	return f
}
