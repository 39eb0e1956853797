package distributor

import (
	"time"

	"hornbeamcroft"
)

// assemblyTimeout is the time without a new part after which a part of any document starts anew, so that an abandoned
// document cannot block others.
const assemblyTimeout = 5 * time.Second

// whole returns the newest document in parts. All nodes cut a document in the same way, so parts of different senders
// fit together.
func (d *Distributor) whole() []Message {
	if d.newest.Revision == 0 {
		return nil
	}
	groups, size := [][]hornbeamcroft.Section{nil}, 0
	for _, s := range d.newest.Sections {
		last := len(groups) - 1
		if n := sizeOf(s); size+n > MaxMessage || len(groups[last]) == maxSections {
			groups, size = append(groups, nil), 0
			last++
		}
		size += sizeOf(s)
		groups[last] = append(groups[last], s)
	}
	messages := make([]Message, len(groups))
	for i, g := range groups {
		messages[i] = Message{Whole: &Whole{d.newest.Revision, d.hash, uint32(i), uint32(len(groups)), g, d.newest.Proof}}
	}
	return messages
}

// assembly collects the parts of one document. Parts of a higher revision, or of another document of the same revision,
// replace it.
type assembly struct {
	revision, hash uint64
	parts          [][]hornbeamcroft.Section
	have           int
	received       []bool
	// at is when the last new part arrived.
	at time.Duration
}

// add takes a part and returns the document when it is complete.
func (a *assembly) add(now time.Duration, m Whole) (hornbeamcroft.StoredDocument, bool) {
	if m.Revision < a.revision && now-a.at < assemblyTimeout {
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
		a.at = now
		a.have++
	}
	if a.have < len(a.parts) {
		return hornbeamcroft.StoredDocument{}, false
	}
	stored := hornbeamcroft.StoredDocument{Revision: a.revision, Proof: m.Proof}
	for _, part := range a.parts {
		stored.Sections = append(stored.Sections, part...)
	}
	*a = assembly{}
	return stored, true
}
