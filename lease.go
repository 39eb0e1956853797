package hornbeamcroft

import "time"

const (
	// RecordLease is the lifetime of the lease of a node's record in the store. The record of a home of tenants, which is renewed every
	// second, outlives 9 s in which the store rejects the node, and the 1.3 s within which the node notices the end of that: its breaker
	// tries the store once a second. With 10 s, most rejected homes lost their tenants, which then
	// went without permits for 5 s.
	RecordLease = 12 * time.Second
	// MissingTime is how long a member without a record in the store and without a link is kept. After an outage of the store, a running
	// node writes its record again within this time.
	MissingTime = 2 * time.Second
	// MaxListStaleness is the maximum age of what a stale list of the store shows.
	MaxListStaleness = time.Second
)
