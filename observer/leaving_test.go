package observer

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// evidence is what may put an upstream that has left back into service.
type evidence struct {
	name  string
	apply func(o *Observer)
}

// lateEvidence lists evidence from before the leaving of the start "a" at 10.
var lateEvidence = []evidence{
	{"heartbeat", func(o *Observer) { o.ApplyAnnouncement(0, heartbeat("a", 10, 9)) }},
	{"heartbeats over a longer time", func(o *Observer) {
		for i := range int64(5) {
			o.ApplyAnnouncement(contenderTime*2, heartbeat("a", 10, 9+i))
		}
	}},
	{"heartbeat of an earlier start", func(o *Observer) { o.ApplyAnnouncement(0, heartbeat("a", 9, 9)) }},
	{"health answer", func(o *Observer) { o.ApplyHealthProbe("a", true, 8) }},
	{"statement of another node", func(o *Observer) { o.ApplyReport(hornbeamcroft.InstanceStatement{Instance: "a", Born: 10}) }},
	{"answer of the upstream", func(o *Observer) { o.ApplyStatement(Moment{}, "a", 10, hornbeamcroft.Statement{}) }},
}

// leavings lists the ways in which the observer learns that the start "a" at 10 leaves.
var leavings = []evidence{
	{"announced", func(o *Observer) {
		a := heartbeat("a", 10, 5)
		a.Draining = true
		o.ApplyAnnouncement(0, a)
	}},
	{"departed", func(o *Observer) {
		o.ApplyAnnouncement(0, heartbeat("a", 10, 5))
		o.ApplyDeparture("a", 10)
	}},
	{"departed, not named", func(o *Observer) {
		o.ApplyAnnouncement(0, heartbeat("a", 10, 5))
		o.ApplyDeparture("a", 0)
	}},
	{"departed before it was known", func(o *Observer) { o.ApplyDeparture("a", 10) }},
	{"departed while an earlier instance was known", func(o *Observer) {
		o.ApplyAnnouncement(0, heartbeat("b", 3, 5))
		o.ApplyDeparture("a", 10)
	}},
	{"departed after a probe", func(o *Observer) {
		o.ApplyServed("a", 10)
		o.ApplyHealthProbe("a", true, 8)
		o.ApplyDeparture("a", 10)
	}},
	{"record of an earlier process", func(o *Observer) { o.ApplyLeft("a", 10, 8) }},
	{"record after a probe", func(o *Observer) {
		o.ApplyServed("a", 10)
		o.ApplyHealthProbe("a", false, 8)
		o.ApplyLeft("a", 10, 8)
	}},
	{"record after a late heartbeat", func(o *Observer) {
		o.ApplyAnnouncement(0, heartbeat("a", 10, 5))
		o.ApplyLeft("a", 10, 8)
	}},
}

// TestLeftStartReturns guards against a start that has announced that it leaves and is used again, whatever says that it serves,
// and against one that is not used although it began after that.
func TestLeftStartReturns(t *testing.T) {
	for _, left := range leavings {
		for _, late := range lateEvidence {
			t.Run(left.name+", then "+late.name, func(t *testing.T) {
				is := is.New(t)
				o := &Observer{Service: "s", Address: "1"}
				left.apply(o)
				is.True(!o.Upstream().Usable())
				late.apply(o)
				is.True(!o.Upstream().Usable())
				is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 11, 0)), OutcomeStarted)
				is.True(o.Upstream().Usable())
			})
		}
	}
}

// TestLaterInstanceAfterRestart guards against a new upstream that is not used from its first heartbeat on because the record of an earlier
// process names the upstream before it, and against a late departure of that one which ends it.
func TestLaterInstanceAfterRestart(t *testing.T) {
	is := is.New(t)
	o := &Observer{Service: "s", Address: "1"}
	is.True(o.ApplyLeft("a", 10, 8))
	is.True(!o.Known())
	is.Equal(o.ApplyAnnouncement(0, heartbeat("b", 20, 0)), OutcomeStarted)
	is.True(o.Upstream().Usable())
	is.True(!o.ApplyLeft("a", 10, 8))
	is.Equal(o.ApplyDeparture("a", 10), OutcomeForeign)
	is.Equal(o.ApplyAnnouncement(0, heartbeat("b", 20, 1)), OutcomeUnchanged)
	is.True(o.Upstream().Usable())
}

// TestRecordOfEarlierStart guards against a record of an earlier start that ends the next one under the same id.
func TestRecordOfEarlierStart(t *testing.T) {
	is := is.New(t)
	o := &Observer{Service: "s", Address: "1"}
	o.ApplyAnnouncement(0, heartbeat("a", 20, 1))
	is.True(!o.ApplyLeft("a", 10, 8))
	is.True(o.Upstream().Usable())
	is.True(!o.ApplyLeft("", 30, 8)) // names no start
	is.True(!o.ApplyLeft("a", 0, 8))
	is.True(o.Upstream().Usable())
}

// TestLeftInstancesBounded guards against a list of left instances that grows for ever, and one that drops the latest first.
func TestLeftInstancesBounded(t *testing.T) {
	is := is.New(t)
	o := &Observer{Service: "s", Address: "1"}
	for i := range int64(3 * maxLeftInstances) {
		o.ApplyDeparture("i"+strconv.FormatInt(i, 10), i+1)
	}
	is.Equal(len(o.left), maxLeftInstances)
	is.True(o.hasLeft("i"+strconv.Itoa(3*maxLeftInstances-1), 3*maxLeftInstances))
}
