package deduper

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestReturnedKeyIsExported guards against an export that omits a record because its key had moved to another home and
// come back. The next home would then receive a complete handover without the record and run the key again. The
// explorer test of package owner found this with a roster of 2 and seed 7054.
func TestReturnedKeyIsExported(t *testing.T) {
	is := is.New(t)
	home := func(name string) func(string) string { return func(string) string { return name } }
	d := &Deduper{}
	arrival := Arrival{Key: "k", ReceivedAt: 1000, FirstSend: true, Serve: true}
	is.Equal(d.Arrive(0, 1000, arrival).Action, ActionRun)
	d.Finish(0, 1000, "k", hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}, true)
	is.Equal(len(d.Export(ExportHeader{Epoch: 2}, []string{"b"}, home("b"))["b"][0].Records), 1)
	d.Import(0, "b", Handover{Epoch: 3, Parts: 1, Records: []HandoverRecord{
		{Key: "k", State: StateAnswered, Code: hornbeamcroft.CodeAnswered, Status: 200},
	}})
	is.Equal(len(d.Export(ExportHeader{Epoch: 4}, []string{"c"}, home("c"))["c"][0].Records), 1)
}
