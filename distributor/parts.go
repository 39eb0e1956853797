package distributor

import (
	"time"

	"hornbeamcroft"
)

// assemblyTimeout is the time without a new part after which a part of a lower revision replaces the document that is
// being assembled, so that an abandoned document of a high revision cannot block others.
const assemblyTimeout = 5 * time.Second

// documentParts returns the newest document in parts. All nodes split a document in the same way, so that parts of
// different senders can be combined.
func (d *Distributor) documentParts() []Message {
	if d.newest.Revision == 0 {
		return nil
	}
	groups, size := [][]hornbeamcroft.Section{nil}, 0
	for _, s := range d.newest.Sections {
		last := len(groups) - 1
		if n := maxEncodedSize(s); size+n > MaxMessage || len(groups[last]) == maxSections {
			groups, size = append(groups, nil), 0
			last++
		}
		size += maxEncodedSize(s)
		groups[last] = append(groups[last], s)
	}
	messages := make([]Message, len(groups))
	for i, g := range groups {
		messages[i] = Message{Part: &DocumentPart{d.newest.Revision, d.hash, uint32(i), uint32(len(groups)), g, d.newest.Proof}}
	}
	return messages
}

// assembly collects the parts of one document. A part of a higher revision, or of another document of the same
// revision, discards the parts collected so far.
type assembly struct {
	revision, hash uint64
	parts          [][]hornbeamcroft.Section
	receivedCount  int
	received       []bool
	// lastReceivedAt is the time at which the last new part arrived.
	lastReceivedAt time.Duration
}

// add stores a part. It returns the document and true when all its parts have arrived.
func (a *assembly) add(now time.Duration, m DocumentPart) (hornbeamcroft.StoredDocument, bool) {
	if m.Revision < a.revision && now-a.lastReceivedAt < assemblyTimeout {
		return hornbeamcroft.StoredDocument{}, false
	}
	if m.Revision != a.revision || m.Hash != a.hash || int(m.Parts) != len(a.parts) {
		*a = assembly{
			revision: m.Revision, hash: m.Hash,
			parts: make([][]hornbeamcroft.Section, m.Parts), received: make([]bool, m.Parts),
		}
	}
	if !a.received[m.Part] {
		a.received[m.Part] = true
		a.parts[m.Part] = m.Sections
		a.lastReceivedAt = now
		a.receivedCount++
	}
	if a.receivedCount < len(a.parts) {
		return hornbeamcroft.StoredDocument{}, false
	}
	stored := hornbeamcroft.StoredDocument{Revision: a.revision, Proof: m.Proof}
	for _, part := range a.parts {
		stored.Sections = append(stored.Sections, part...)
	}
	*a = assembly{}
	return stored, true
}
