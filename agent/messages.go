package agent

import (
	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// notice is what a node says of itself on a link: at the start, and when something in it changes.
type notice struct {
	Member hornbeamcroft.Member `cbor:"1,keyasint"`
	Load   hornbeamcroft.Load   `cbor:"2,keyasint"`
	// Routes is the version of the configuration in force; zero if there is none.
	Routes int64 `cbor:"3,keyasint,omitempty"`
}

// Check reports whether the notice is well formed.
func (n notice) Check() error {
	if err := n.Member.Check(); err != nil {
		return errors.Wrap(err, "notice")
	}
	return n.Load.Check()
}

// routesQuery asks for the configuration of the peer.
type routesQuery struct {
	// Have is the version in force at the sender.
	Have int64 `cbor:"1,keyasint"`
}

// Check reports whether the query is well formed.
func (routesQuery) Check() error { return nil }

// routesCopy carries a configuration as the operators wrote it, and the members that the sender knows.
type routesCopy struct {
	Document []byte                 `cbor:"1,keyasint"`
	Members  []hornbeamcroft.Member `cbor:"2,keyasint,omitempty"`
}

// maxIntroduced bounds the members of one message.
const maxIntroduced = 4000

// Check reports whether the copy is well formed.
func (c routesCopy) Check() error {
	if len(c.Members) > maxIntroduced {
		return errors.Errorf("routes: %d members: allowed are %d", len(c.Members), maxIntroduced)
	}
	for _, m := range c.Members {
		if err := m.Check(); err != nil {
			return errors.Wrap(err, "routes")
		}
	}
	return nil
}

// learned tells a node that has just started which calls requests of each route make.
type learned struct {
	Routes map[string][]hornbeamcroft.Reach `cbor:"1,keyasint"`
}

// maxLearned bounds the routes of one message.
const maxLearned = 512

// Check reports whether the message is well formed.
func (m learned) Check() error {
	if len(m.Routes) > maxLearned {
		return errors.Errorf("learned: %d routes: allowed are %d", len(m.Routes), maxLearned)
	}
	return nil
}
