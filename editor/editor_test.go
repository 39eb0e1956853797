package editor_test

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/editor"
)

func section(name, owner, text string, generation uint64, writer string) hornbeamcroft.Section {
	return hornbeamcroft.Section{Name: name, Owner: owner, Text: text, Generation: generation, Writer: writer}
}

func document(revision uint64, sections ...hornbeamcroft.Section) hornbeamcroft.StoredDocument {
	return hornbeamcroft.StoredDocument{Revision: revision, Sections: sections}
}

// newEditor returns an editor for an edit of the owner "cash" with the writer ID "mine" that writes the sections.
func newEditor(sections ...hornbeamcroft.Section) *editor.Editor {
	return &editor.Editor{
		Edit:  editor.Edit{Owner: "cash", Writer: "mine", Write: sections},
		Check: func(hornbeamcroft.StoredDocument) error { return nil },
	}
}

var errNoResponse = errors.New("no response")

// TestLostResponseWithoutHistory guards against a wrong outcome of a write without a response if its history entry was
// already removed: the writer ID and the generation of the section decide.
func TestLostResponseWithoutHistory(t *testing.T) {
	for _, tt := range []struct {
		name    string
		current hornbeamcroft.StoredDocument
		code    hornbeamcroft.Code
	}{
		{"mine", document(9, section("a", "cash", "new", 2, "mine")), hornbeamcroft.CodeAccepted},
		{"another writer's", document(9, section("a", "cash", "x", 2, "other")), hornbeamcroft.CodeConflict},
		{"the same writer's earlier one", document(9, section("a", "cash", "x", 7, "mine")), hornbeamcroft.CodeConflict},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEditor(section("a", "cash", "new", 0, ""))
			is.Equal(e.Read(document(1, section("a", "cash", "old", 1, "first")), 10, nil), editor.StepWrite)
			is.Equal(e.Written(false, errNoResponse), editor.StepRead)
			is.Equal(e.PendingRevision(), uint64(2))
			is.Equal(e.Read(tt.current, 11, nil), editor.StepDone)
			is.Equal(e.Result().Code, tt.code)
		})
	}
}

// TestPendingWriteIsNeverRefused guards against an edit that is reported as refused although its first write may still
// take effect.
func TestPendingWriteIsNeverRefused(t *testing.T) {
	is := is.New(t)
	old := document(4, section("a", "cash", "old", 1, "first"))
	e := newEditor(section("a", "cash", "new", 0, ""))
	is.Equal(e.Read(old, 10, nil), editor.StepWrite)
	e.Written(false, errNoResponse)
	is.Equal(e.Read(old, 10, nil), editor.StepWrite) // the first write may still take effect; both writes have the same condition
	e.Written(false, hornbeamcroft.ErrStoreUnreachable)
	is.Equal(e.Abort(errNoResponse), editor.StepDone)
	is.Equal(e.Result().Code, hornbeamcroft.CodeWriteUnknown)
}

// TestOwners guards against an edit of another team's section, or of a new section in another team's name, and checks
// that a team can transfer its section to another team.
func TestOwners(t *testing.T) {
	is := is.New(t)
	stored := document(1, section("a", "desk", "x", 1, "w"), section("b", "cash", "x", 1, "w"))
	e := newEditor(section("a", "cash", "y", 0, ""))
	is.Equal(e.Read(stored, 1, nil), editor.StepDone)
	is.Equal(e.Result().Code, hornbeamcroft.CodeNotOwner)
	e = newEditor(section("c", "desk", "y", 0, ""))
	is.Equal(e.Read(stored, 1, nil), editor.StepDone)
	is.Equal(e.Result().Code, hornbeamcroft.CodeNotOwner) // a new section owned by another team
	e = newEditor(section("b", "desk", "y", 0, ""))
	is.Equal(e.Read(stored, 1, nil), editor.StepWrite)
	next, _, _ := e.Next()
	is.Equal(next.Sections[1].Owner, "desk")
}

func ExampleEditor() {
	e := newEditor(section("service cash", "cash", "slots = 3", 0, ""))
	step := e.Read(document(1, section("service cash", "cash", "slots = 2", 1, "first")), 10, nil)
	next, _, modRevision := e.Next()
	fmt.Println(step == editor.StepWrite, next.Revision, modRevision)
	e.Written(false, nil) // another edit was written first, so the condition did not hold
	e.Read(document(2, section("service cash", "cash", "slots = 4", 2, "other")), 11, nil)
	fmt.Print(e.Result().Code, "\n", e.Result().Conflicts[0].Difference)
	// Output:
	// true 2 10
	// 502 conflict
	// diff accepted [service cash] yours [service cash]
	// --- accepted [service cash]
	// +++ yours [service cash]
	// @@ -1,1 +1,1 @@
	// -slots = 4
	// +slots = 3
}
