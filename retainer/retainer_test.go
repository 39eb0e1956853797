package retainer

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func left(instance string, born int64) hornbeamcroft.Member {
	return hornbeamcroft.Member{Name: "a", Instance: instance, Born: born, State: hornbeamcroft.MemberLeft}
}

// TestRecord guards against a leaving that is forgotten before the upstream has ended, or told of a start that did not leave.
func TestRecord(t *testing.T) {
	is := is.New(t)
	var r Retainer
	serving := left("i", 10)
	serving.State = hornbeamcroft.MemberServing
	r.Record(0, serving)
	probed := left("i", 0)
	r.Record(0, probed)
	_, ok := r.Left(0, "a")
	is.True(!ok)
	r.Record(0, left("i", 10))
	r.Record(time.Second, serving)
	r.Record(time.Second, left("h", 9)) // late
	m, ok := r.Left(retention, "a")
	is.True(ok)
	is.Equal(m, left("i", 10))
	_, ok = r.Left(retention+1, "a")
	is.True(!ok)
	r.Record(time.Second, left("j", 11))
	m, _ = r.Left(time.Second, "a")
	is.Equal(m.Instance, "j")
}

// TestBounded guards against records that pile up.
func TestBounded(t *testing.T) {
	is := is.New(t)
	var r Retainer
	record := func(now time.Duration, i int) {
		m := left("i", 10)
		m.Name = strconv.Itoa(i)
		r.Record(now, m)
	}
	for i := range 2 * maxRecords {
		record(0, i)
	}
	is.Equal(len(r.records), maxRecords)
	record(retention+1, 2*maxRecords)
	is.Equal(len(r.records), 1)
}
