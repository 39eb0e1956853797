package applier_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/editor"
	"hornbeamcroft/faker"
	"hornbeamcroft/parser"
)

// newEdit returns an edit that sets the slots of the service cash.
func newEdit(writer string, slots int) editor.Edit {
	text := fmt.Sprintf("owner = cash\nslots = %d\nconnections = 1000", slots)
	return editor.Edit{Owner: "cash", Writer: writer, Write: []hornbeamcroft.Section{{Name: "service cash", Owner: "cash", Text: text}}}
}

// TestCallsPerEdit guards against an edit that makes more calls to the store than documented: two without errors and
// races, four if an answer is lost (read, write, read, history) or a race is lost (read, write, read, write).
func TestCallsPerEdit(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(w *world)
		calls   int
	}{
		{"undisturbed", func(*world) {}, 2},
		{"lost answer", func(w *world) { w.SetFaults(faker.Faults{LoseAnswers: 1}) }, 4},
		{"lost race", func(w *world) {
			w.beforeWrite = []func(){func() {
				w.apply(editor.Edit{Owner: "x", Writer: "x", Write: []hornbeamcroft.Section{
					{Name: "platform", Owner: "x", Text: "owner = x"},
				}}, false)
			}}
		}, 4 + 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(mechanisms{})
			tt.prepare(w)
			before := w.Counts()
			r := w.apply(newEdit("w", 3), false)
			is.Equal(r.Code, hornbeamcroft.CodeAccepted)
			after := w.Counts()
			// The read of the document that world makes after each transaction is no call of the edit.
			ownReads := after["txn"] - before["txn"]
			is.Equal(after["all"]-before["all"]-ownReads, tt.calls)
		})
	}
}

// TestHistoryIsBounded guards against a history that keeps more than editor.HistoryLength entries.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(mechanisms{})
	for i := range editor.HistoryLength + 20 {
		is.Equal(w.apply(newEdit(fmt.Sprint("w", i), 1+i), false).Code, hornbeamcroft.CodeAccepted)
	}
	history, err := applier.FetchHistory(t.Context(), w)
	is.NoErr(err)
	is.Equal(len(history), editor.HistoryLength)
	is.Equal(history[0].Revision, uint64(21))
}

func Example() {
	store := faker.NewStore(&faker.Clock{})
	a := &applier.Applier{Store: store}
	e := &editor.Editor{Edit: newEdit("writer-1", 20), Check: applier.Check}
	r := a.Apply(context.Background(), e, false)
	stored, _, _ := applier.Fetch(context.Background(), store)
	doc, _ := parser.Parse(stored)
	fmt.Println(r.Outcome(), r.Revision, doc.Services["cash"].Slots)
	// Output: accepted 1 20
}
