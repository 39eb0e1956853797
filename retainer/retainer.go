// Package retainer keeps the records of other nodes whose upstreams have announced that they leave. It keeps them for longer
// than the store does, so that a node that has restarted can be told what its earlier process acknowledged.
package retainer

import (
	"time"

	"hornbeamcroft"
)

const (
	// retention is how long a record is kept after the node last announced it. An upstream that has announced that it leaves
	// may go on running for many seconds.
	retention = 2 * time.Minute
	// maxRecords is the maximum number of records that are kept.
	maxRecords = 4096
)

// Retainer keeps one record for each node. It is not safe for concurrent use.
type Retainer struct {
	records map[string]record
}

// record is the record of a node and the time at which it was announced last.
type record struct {
	member hornbeamcroft.Member
	at     time.Duration
}

// Record keeps a record that says that its upstream leaves. A record of a later start replaces the kept one. Other records
// are ignored.
func (r *Retainer) Record(now time.Duration, m hornbeamcroft.Member) {
	known, ok := r.records[m.Name]
	if !m.HasLeft() || ok && known.member.Born > m.Born {
		return
	}
	if r.records == nil {
		r.records = make(map[string]record)
	}
	if !ok && len(r.records) >= maxRecords {
		r.dropExpired(now)
		if len(r.records) >= maxRecords {
			return
		}
	}
	r.records[m.Name] = record{member: m, at: now}
}

// Left returns the record that is kept of the named node, or false if there is none.
func (r *Retainer) Left(now time.Duration, name string) (hornbeamcroft.Member, bool) {
	known, ok := r.records[name]
	if !ok || now-known.at > retention {
		return hornbeamcroft.Member{}, false
	}
	return known.member, true
}

func (r *Retainer) dropExpired(now time.Duration) {
	for name, known := range r.records {
		if now-known.at > retention {
			delete(r.records, name)
		}
	}
}
