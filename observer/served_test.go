package observer

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestUnprovenHealthAnswer guards against requests at an upstream of another service that answers health probes at the address of the
// one that has ended: only a heartbeat, or an earlier process that has used the instance, proves its service.
func TestUnprovenHealthAnswer(t *testing.T) {
	is := is.New(t)
	o := &Observer{Service: "s", Address: "1"}
	is.True(!o.ApplyHealthProbe("other", true, 8)) // nothing is known of earlier processes
	is.True(o.ApplyServed("a", 10))
	is.True(!o.ApplyHealthProbe("other", true, 8))
	foreign := heartbeat("other", 30, 1)
	foreign.Service = "t"
	is.Equal(o.ApplyAnnouncement(0, foreign), OutcomeForeign)
	is.True(!o.ApplyHealthProbe("other", true, 8))
	is.True(!o.Known())
	is.True(o.ApplyHealthProbe("a", true, 8))
	is.True(o.Upstream().Usable())
}

// TestServedInstancesBounded guards against a list of instances that grows with what other nodes send.
func TestServedInstancesBounded(t *testing.T) {
	is := is.New(t)
	o := &Observer{}
	for i := range 2 * maxServedInstances {
		is.Equal(o.ApplyServed("i"+strconv.Itoa(i), 1), i < maxServedInstances)
	}
	is.True(!o.ApplyServed("i0", 1)) // known
	is.True(o.ApplyServed("i0", 2))  // a later start, which may not have left
	is.True(o.servedAfter("i0", 1))
}
