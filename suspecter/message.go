package suspecter

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxMessageEntries bounds the suspects in one message.
	maxMessageEntries = 2048
	// maxMessageBytes bounds the encoded suspects in one message, so that it fits into a frame of 64 KiB.
	maxMessageBytes = 60 << 10
	// entryBytes and crashIDBytes are the most that a suspect without crash ids, and one crash id, take in a message.
	entryBytes, crashIDBytes = 18, 9
)

// Suspect is what a node knows of one suspect. Nodes merge what they know by the crash ids, so that the order of the messages does not
// matter.
type Suspect struct {
	_ struct{} `cbor:",toarray"`
	// Fingerprint is that of the request.
	Fingerprint uint64
	// AgeMs is the time since the last crash in milliseconds, because nodes have no common clock.
	AgeMs int64
	// Crashes are the ids of the crashes that count, at most maxCrashIDs.
	Crashes []uint64
	// Cleared are the ids of the crashes that the request did not cause, at most maxCrashIDs.
	Cleared []uint64
}

// Message carries suspects to another node.
type Message struct {
	// Suspects has at most maxMessageEntries elements.
	Suspects []Suspect `cbor:"1,keyasint"`
}

// Check reports whether the message is well formed.
func (m Message) Check() error {
	if n := len(m.Suspects); n > maxMessageEntries {
		return errors.Errorf("suspects: %d requests exceed the limit of %d", n, maxMessageEntries)
	}
	for _, e := range m.Suspects {
		if e.AgeMs < 0 || len(e.Crashes) > maxCrashIDs || len(e.Cleared) > maxCrashIDs {
			return errors.Errorf("suspects: age of %d ms, %d crashes and %d cleared ones: the age must be at least 0, the others at most %d",
				e.AgeMs, len(e.Crashes), len(e.Cleared), maxCrashIDs)
		}
	}
	return nil
}

// Export returns all suspects whose last crash is not too long ago, in as many messages as needed. Those that are refused or may
// soon be come first, in case the link ends early. It returns no message if there are none.
func (s *Suspecter) Export(now time.Duration) []Message {
	list := make([]Suspect, 0, len(s.suspects))
	for fingerprint, e := range s.suspects {
		if !e.expired(now) {
			list = append(list, e.export(now, fingerprint))
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return split(list)
}

// ExportOne returns what is known of one request, or false if it is no suspect.
func (s *Suspecter) ExportOne(now time.Duration, fingerprint uint64) (Message, bool) {
	e := s.suspects[fingerprint]
	if e == nil || e.expired(now) {
		return Message{}, false
	}
	return Message{Suspects: []Suspect{e.export(now, fingerprint)}}, true
}

func (e *suspicion) export(now time.Duration, fingerprint uint64) Suspect {
	return Suspect{
		Fingerprint: fingerprint, AgeMs: (now - e.lastCrash).Milliseconds(),
		Crashes: slices.Clone(e.crashes), Cleared: slices.Clone(e.cleared),
	}
}

// split divides the suspects among messages that fit into a frame.
func split(list []Suspect) []Message {
	var messages []Message
	begin, bytes := 0, 0
	for i, e := range list {
		size := entryBytes + crashIDBytes*(len(e.Crashes)+len(e.Cleared))
		if i-begin == maxMessageEntries || bytes+size > maxMessageBytes {
			messages = append(messages, Message{Suspects: list[begin:i]})
			begin, bytes = i, 0
		}
		bytes += size
	}
	if begin < len(list) {
		messages = append(messages, Message{Suspects: list[begin:]})
	}
	return messages
}

// Import merges the suspects that another node knows. Crashes that are cleared here or there do not count. A full table takes over
// only suspects that are refused or one crash short of it, as they are rarer and matter more than those that they displace.
func (s *Suspecter) Import(now time.Duration, m Message) {
	for _, suspect := range m.Suspects {
		isFull := len(s.insertionOrder) >= maxSuspects && len(suspect.Crashes) < maxCrashes-1
		if suspect.AgeMs >= suspicionTTL.Milliseconds() || isFull && s.suspects[suspect.Fingerprint] == nil {
			continue
		}
		e := s.entry(now, suspect.Fingerprint)
		at := now - time.Duration(suspect.AgeMs)*time.Millisecond
		for _, crash := range suspect.Crashes {
			e.add(at, crash)
		}
		for _, crash := range suspect.Cleared {
			e.clear(at, crash)
		}
	}
}
