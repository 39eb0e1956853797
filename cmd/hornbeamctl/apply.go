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
compared with edits since the file was made.

The outcome is accepted (exit status 0), refused (1, 3, 5, 6, 7) or unknown (4). After "unknown", or after the
command was interrupted, repeat it with the --writer that it printed: an edit that was accepted is not made twice.

Examples:
   hornbeamctl apply document.ini --as cash
   hornbeamctl apply document.ini "service cash-office" --as cash --wait 3s`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "as", Required: true, Usage: "the `OWNER` on whose behalf the edit is made"},
			&cli.StringSliceFlag{Name: "remove", Usage: "remove this `SECTION`; repeat for several"},
			&cli.StringFlag{Name: "writer", Usage: "`ID` of an earlier apply that is repeated"},
			&cli.BoolFlag{Name: "without-nodes", Usage: "write although no node can say whether the store is behind; for the first document"},
			&cli.BoolFlag{Name: "accept-unproven", Usage: "edit a document that was written without the operators' key, and prove it; look at it first"},
			&cli.DurationFlag{Name: "wait", Usage: "wait up to this `TIME` until the edit is in force on all nodes heard"},
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
	client, err := s.client()
	if err != nil {
		return err
	}
	highest, err := askNodes(ctx, cmd, s)
	if err != nil {
		return err
	}
	line(cmd.Root().ErrWriter, "apply: writer %s", edit.Writer)
	e := &editor.Editor{Edit: edit, Check: applier.Check, Highest: highest}
	r := (&applier.Applier{Store: client, Signer: s.signer(), AcceptUnproven: cmd.Bool("accept-unproven")}).Apply(ctx, e, repeat)
	return reportApply(ctx, cmd, s, r)
}

// askNodes returns the highest revision in force. It refuses an edit that could be based on an old document.
func askNodes(ctx context.Context, cmd *cli.Command, s settings) (uint64, error) {
	statuses := s.collector().Statuses(ctx)
	highest, heard := collector.Highest(statuses)
	if heard == 0 && !cmd.Bool("without-nodes") {
		return 0, fail(hornbeamcroft.CodeStoreBehind, errors.New(
			"no node answered, so the store may be behind; set --nodes, or --without-nodes for the first document"))
	}
	if names := collector.Diverged(statuses); len(names) > 0 {
		// The merge keeps both edits unless they are of the same section.
		line(cmd.Root().ErrWriter, "apply: accepted edits are missing from the store's document and are being merged by %s",
			strings.Join(names, ", "))
	}
	return highest, nil
}

// readEdit builds the edit from the file and the flags.
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
	if edit.Write, err = chosen(sections, names); err != nil {
		return edit, repeat, err
	}
	if len(names) == 0 {
		edit.Write = slices.DeleteFunc(edit.Write, func(s hornbeamcroft.Section) bool { return s.Owner != edit.Owner })
	}
	if len(edit.Write)+len(edit.Remove) == 0 {
		return edit, repeat, usage("the file has no section of owner %q", edit.Owner)
	}
	return edit, repeat, nil
}

// applyJSON is the output of apply.
type applyJSON struct {
	codeJSON
	Revision  uint64            `json:"revision,omitempty"`
	Writer    string            `json:"writer"`
	Conflicts []editor.Conflict `json:"conflicts,omitempty"`
	Reason    string            `json:"reason,omitempty"`
	Problems  parser.Problems   `json:"problems,omitempty"`
	Force     *forceJSON        `json:"in-force,omitempty"`
}

// forceJSON states where a revision is in force.
type forceJSON struct {
	Heard   int      `json:"heard"`
	InForce int      `json:"in-force"`
	Behind  []string `json:"behind,omitempty"`
	Silent  []string `json:"not-heard,omitempty"`
}

func reportApply(ctx context.Context, cmd *cli.Command, s settings, r editor.Result) error {
	out := applyJSON{codeJSON: codeOf(r.Code), Revision: r.Revision, Writer: r.Writer, Conflicts: r.Conflicts}
	out.Outcome = r.Outcome().String()
	if r.Err != nil {
		out.Reason = r.Err.Error()
	}
	if r.Code == hornbeamcroft.CodeInvalid {
		out.Problems = parser.AsProblems(r.Err)
	}
	if wait := cmd.Duration("wait"); wait > 0 && r.Outcome() == editor.Accepted {
		f := waitInForce(ctx, s.collector(), r.Revision, wait)
		out.Force = &f
	}
	if err := emit(cmd, out, out.text); err != nil {
		return err
	}
	if r.Outcome() == editor.Accepted {
		return nil
	}
	if r.Err == nil {
		r.Err = errors.New(r.Code.Info().Meaning)
	}
	return fail(r.Code, r.Err)
}

func (a applyJSON) text(w io.Writer) {
	line(w, "%s: %s", a.Outcome, a.Meaning)
	if a.Revision > 0 {
		line(w, "revision %d", a.Revision)
	}
	for _, c := range a.Conflicts {
		line(w, "conflict in [%s], generation %d by writer %s:\n%s", c.Section, c.Theirs.Generation, c.Theirs.Writer, c.Difference)
	}
	if a.Outcome == editor.Unknown.String() {
		line(w, "repeat the command with --writer %s; an accepted edit is not made twice", a.Writer)
	}
	if a.Force != nil {
		line(w, "%s", a.Force)
	}
}

// String states where the revision is in force, as one line.
func (f forceJSON) String() string {
	var b strings.Builder
	line(&b, "in force on %d of %d nodes heard", f.InForce, f.Heard)
	for _, name := range f.Behind {
		line(&b, "  behind: %s", name)
	}
	for _, address := range f.Silent {
		line(&b, "  not heard: %s", address)
	}
	return strings.TrimRight(b.String(), "\n")
}

// pollInterval is the time between questions to the nodes while waiting.
const pollInterval = 200 * time.Millisecond

// waitInForce asks the nodes until all that answer have the revision, or the time is over.
func waitInForce(ctx context.Context, c *collector.Collector, revision uint64, wait time.Duration) forceJSON {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		f := inForce(c.Statuses(context.WithoutCancel(ctx)), revision)
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

func inForce(statuses []collector.Status, revision uint64) forceJSON {
	var f forceJSON
	for _, s := range statuses {
		switch {
		case !s.Heard:
			f.Silent = append(f.Silent, s.Address)
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
