package agent

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// nodeState describes the state of the sending node. It is sent when a link opens and whenever the member record or the
// version of the configuration changes.
type nodeState struct {
	Member hornbeamcroft.Member `cbor:"1,keyasint"`
	Load   hornbeamcroft.Load   `cbor:"2,keyasint"`
	// Routes is the version of the configuration of routes in force; zero if there is none.
	Routes int64 `cbor:"3,keyasint,omitempty"`
	// Era is the era of the store in the last list of members; zero before the first.
	Era int64 `cbor:"4,keyasint,omitempty"`
	// Restored is how long ago the sender heard that the store was restored; zero if that no longer matters for quotas.
	Restored time.Duration `cbor:"5,keyasint,omitempty"`
	// LeavingsRead is true if the sender has read since its start which upstreams leave, so that it has told the receiver what it announced.
	LeavingsRead bool `cbor:"6,keyasint,omitempty"`
}

// Check reports whether the node state is well formed.
func (n nodeState) Check() error {
	if n.Era < 0 || n.Restored < 0 {
		return errors.Errorf("notice: era %d, time since a restore %s: must be at least 0", n.Era, n.Restored)
	}
	if err := n.Member.Check(); err != nil {
		return errors.Wrap(err, "notice")
	}
	return n.Load.Check()
}

// recordHeld acknowledges the member record of a node whose upstream leaves.
type recordHeld struct {
	// Incarnation and Sequence are those of the record.
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

// Check reports whether the message is well formed.
func (recordHeld) Check() error { return nil }

// earlierRecord tells a node that has started what an earlier process of it announced.
type earlierRecord struct {
	// Member is the record of the receiver.
	Member hornbeamcroft.Member `cbor:"1,keyasint"`
}

// Check reports whether the message is well formed.
func (r earlierRecord) Check() error {
	if err := r.Member.Check(); err != nil {
		return errors.Wrap(err, "earlier record")
	}
	return nil
}

// routesQuery requests the peer's configuration of routes.
type routesQuery struct {
	// Have is the version in force at the sender of the query; zero if there is none.
	Have int64 `cbor:"1,keyasint"`
}

// Check reports whether the query is well formed.
func (routesQuery) Check() error { return nil }

// routesCopy carries the sender's configuration of routes, byte for byte as it was stored, and the members that the sender
// knows.
type routesCopy struct {
	Document []byte                 `cbor:"1,keyasint"`
	Members  []hornbeamcroft.Member `cbor:"2,keyasint,omitempty"`
}

// maxRoutesCopyMembers is the maximum number of members in a routesCopy.
const maxRoutesCopyMembers = 4000

// Check reports whether the copy is well formed. The members are checked one by one when they are used, so that one that another
// version of the program let pass does not keep the configuration away.
func (c routesCopy) Check() error {
	if len(c.Members) > maxRoutesCopyMembers {
		return errors.Errorf("routes: %d members: must be at most %d", len(c.Members), maxRoutesCopyMembers)
	}
	return nil
}

// validMembers returns the members of the copy that are well formed.
func (c routesCopy) validMembers() []hornbeamcroft.Member {
	return slices.DeleteFunc(slices.Clone(c.Members), func(m hornbeamcroft.Member) bool { return m.Check() != nil })
}

// childCalls carries the calls to further services that the sender has observed for the requests of each route, so that a node
// that has just started need not learn them itself.
type childCalls struct {
	// Routes maps the name of a route to the mean number of calls to each service, rounded up.
	Routes map[string][]hornbeamcroft.ServiceCalls `cbor:"1,keyasint"`
}

// maxChildCallsRoutes is the maximum number of routes in a childCalls message.
const maxChildCallsRoutes = 512

// Check reports whether the message is well formed.
func (m childCalls) Check() error {
	if len(m.Routes) > maxChildCallsRoutes {
		return errors.Errorf("child calls: %d routes: must be at most %d", len(m.Routes), maxChildCallsRoutes)
	}
	return nil
}
