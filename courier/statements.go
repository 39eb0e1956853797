package courier

import "hornbeamcroft"

// pruneThreshold is the number of hosts in a statementTable from which on those that are no longer members are dropped.
const pruneThreshold = 1024

// statementTable holds, by host, what the upstream there stated last in the answers that this node passed on. It goes with
// later calls to the host, because the node beside the upstream may have restarted since and not know it.
type statementTable map[string]hornbeamcroft.InstanceStatement

// record keeps the statement in an answer of the host. An answer without one changes nothing: a node that has restarted may
// not know yet what the upstream states.
func (t *statementTable) record(host string, a hornbeamcroft.Answer) {
	if a.Upstream == nil {
		return
	}
	if *t == nil {
		*t = make(statementTable)
	}
	(*t)[host] = *a.Upstream
}

// last returns the statement for a call to the host, or nil if there is none.
func (t statementTable) last(host string) *hornbeamcroft.InstanceStatement {
	s, ok := t[host]
	if !ok {
		return nil
	}
	return &s
}

// retain bounds the table. Hosts that are only away for a while are kept.
func (t statementTable) retain(members map[string]hornbeamcroft.Member) {
	if len(t) < pruneThreshold {
		return
	}
	for host := range t {
		if _, ok := members[host]; !ok {
			delete(t, host)
		}
	}
}
