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

func newEditor(sections ...hornbeamcroft.Section) *editor.Editor {
	return &editor.Editor{
		Edit:  editor.Edit{Owner: "cash", Writer: "mine", Write: sections},
		Check: func(hornbeamcroft.StoredDocument) error { return nil },
	}
}

var errLost = errors.New("answer lost")

// TestLostAnswerWithoutHistory guards against a wrong outcome when the history entry was already removed: then the
// writer id and the generation decide.
func TestLostAnswerWithoutHistory(t *testing.T) {
	for _, tt := range []struct {
		name   string
		reread hornbeamcroft.StoredDocument
		code   hornbeamcroft.Code
	}{
		{"mine", document(9, section("a", "cash", "new", 2, "mine")), hornbeamcroft.CodeAccepted},
		{"another writer's", document(9, section("a", "cash", "x", 2, "other")), hornbeamcroft.CodeConflict},
		{"the same writer's earlier one", document(9, section("a", "cash", "x", 7, "mine")), hornbeamcroft.CodeConflict},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEditor(section("a", "cash", "new", 0, ""))
			is.Equal(e.Read(document(1, section("a", "cash", "old", 1, "first")), 10, nil), editor.StepWrite)
			is.Equal(e.Written(false, errLost), editor.StepRead)
			is.Equal(e.Planned(), uint64(2))
			is.Equal(e.Read(tt.reread, 11, nil), editor.StepDone)
			is.Equal(e.Result().Code, tt.code)
		})
	}
}

// TestOpenWriteIsNeverRefused guards against "refused" while an earlier write may still take effect.
func TestOpenWriteIsNeverRefused(t *testing.T) {
	is := is.New(t)
	old := document(4, section("a", "cash", "old", 1, "first"))
	e := newEditor(section("a", "cash", "new", 0, ""))
	is.Equal(e.Read(old, 10, nil), editor.StepWrite)
	e.Written(false, errLost)
	is.Equal(e.Read(old, 10, nil), editor.StepWrite) // the first write may be on its way; the same condition covers both
	e.Written(false, hornbeamcroft.ErrStoreUnreachable)
	is.Equal(e.GiveUp(errLost), editor.StepDone)
	is.Equal(e.Result().Code, hornbeamcroft.CodeWriteUnknown)
}

// TestOwners guards against an edit of another team's section, and checks that an owner can hand a section over.
func TestOwners(t *testing.T) {
	is := is.New(t)
	stored := document(1, section("a", "desk", "x", 1, "w"), section("b", "cash", "x", 1, "w"))
	e := newEditor(section("a", "cash", "y", 0, ""))
	is.Equal(e.Read(stored, 1, nil), editor.StepDone)
	is.Equal(e.Result().Code, hornbeamcroft.CodeNotOwner)
	e = newEditor(section("c", "desk", "y", 0, ""))
	is.Equal(e.Read(stored, 1, nil), editor.StepDone)
	is.Equal(e.Result().Code, hornbeamcroft.CodeNotOwner) // a new section in another team's name
	e = newEditor(section("b", "desk", "y", 0, ""))
	is.Equal(e.Read(stored, 1, nil), editor.StepWrite)
	next, _, _ := e.Next()
	is.Equal(next.Sections[1].Owner, "desk")
}

func ExampleEditor() {
	e := newEditor(section("service cash", "cash", "slots = 3", 0, ""))
	step := e.Read(document(1, section("service cash", "cash", "slots = 2", 1, "first")), 10, nil)
	next, _, condition := e.Next()
	fmt.Println(step == editor.StepWrite, next.Revision, condition)
	e.Written(false, nil) // lost the race
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
