package distributor_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamcroft"
	"hornbeamcroft/distributor"
	"hornbeamcroft/parser"
)

func acceptAny(hornbeamcroft.StoredDocument) error { return nil }

// document returns a document with n sections whose texts have the given size in bytes. The sections whose indexes are
// in edited have the revision as generation and a text that names the revision.
func document(revision uint64, n, size int, edited ...int) hornbeamcroft.StoredDocument {
	stored := hornbeamcroft.StoredDocument{Revision: revision}
	for i := range n {
		s := hornbeamcroft.Section{Name: fmt.Sprintf("service s-%04d", i), Owner: "o", Generation: 1, Text: strings.Repeat("x", size)}
		if slices.Contains(edited, i) {
			s.Generation, s.Text = revision, fmt.Sprintf("edited at %d ", revision)+s.Text
		}
		stored.Sections = append(stored.Sections, s)
	}
	return stored
}

// newDistributor returns a distributor whose newest document is stored and that accepts any other document.
func newDistributor(stored hornbeamcroft.StoredDocument) *distributor.Distributor {
	d := &distributor.Distributor{Check: acceptAny}
	d.OnRead(stored, 1)
	return d
}

// deliver passes messages to d at the time now and returns the replies and whether d accepted a document.
func deliver(d *distributor.Distributor, now time.Duration, messages []distributor.Message) (replies []distributor.Message, accepted bool) {
	for _, m := range messages {
		var a distributor.Actions
		switch {
		case m.Digest != nil:
			a = d.OnDigest(now, *m.Digest)
		case m.Delta != nil:
			a = d.OnDelta(now, *m.Delta)
		case m.Part != nil:
			a = d.OnPart(now, *m.Part)
		}
		replies = append(replies, a.Reply...)
		accepted = accepted || a.Accepted
	}
	return replies, accepted
}

// TestMessagesAreBounded guards against messages above the frame limit of 64 KiB, for a whole document and for a change
// of all sections, which is too large for a delta.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	from := newDistributor(document(1, 400, 2000))
	from.OnWatch(document(2, 400, 2000, 7))
	small := from.OnDigest(0, distributor.Digest{Revision: 1, Hash: distributor.HashOf(document(1, 400, 2000))}).Reply
	is.Equal(len(small), 1)
	is.Equal(len(small[0].Delta.Changed), 1)
	all := make([]int, 400)
	for i := range all {
		all[i] = i
	}
	huge := document(3, 400, 2000)
	for i := range huge.Sections {
		huge.Sections[i].Generation = 3
	}
	from.OnWatch(huge)
	parts := from.OnDigest(0, distributor.Digest{Revision: 1, Hash: 1}).Reply
	is.True(len(parts) > 1)
	to := &distributor.Distributor{Check: acceptAny}
	slices.Reverse(parts) // parts may arrive in any order
	for _, m := range append(parts, small...) {
		data, err := cbor.Marshal(m.Part)
		if m.Delta != nil {
			data, err = cbor.Marshal(m.Delta)
		}
		is.NoErr(err)
		is.True(len(data) < 64<<10)
	}
	_, accepted := deliver(to, 0, parts)
	is.True(accepted)
	is.Equal(to.Digest(), from.Digest())
}

// TestDocumentIsRequestedOnce guards against a starting node that requests, and gets, the whole document from two
// relays.
func TestDocumentIsRequestedOnce(t *testing.T) {
	is := is.New(t)
	d := &distributor.Distributor{Check: acceptAny}
	digest := distributor.Digest{Revision: 9, Hash: 1}
	is.Equal(len(d.OnDigest(0, digest).Reply), 1)
	is.Equal(len(d.OnDigest(10*time.Millisecond, digest).Reply), 0)
	is.Equal(len(d.OnDigest(2*time.Second, digest).Reply), 1) // the request is repeated, since the first may be lost
}

// TestRefusedDocument guards against a node that accepts a document that does not pass Check, or requests it
// repeatedly.
func TestRefusedDocument(t *testing.T) {
	is := is.New(t)
	d := newDistributor(document(1, 3, 10))
	d.Check = func(hornbeamcroft.StoredDocument) error { return errors.New("unknown key") }
	a := d.OnRead(document(2, 3, 10, 1), 1)
	is.True(a.Err != nil && !a.Accepted)
	is.Equal(d.Status(), distributor.Status{Revision: 1, Refused: 2})
	is.Equal(len(d.OnDigest(time.Minute, distributor.Digest{Revision: 2, Hash: 5}).Reply), 0)
	d.Check = acceptAny
	is.True(d.OnRead(document(3, 3, 10, 1), 1).Accepted)
}

// TestUnprovedIsNotMerged guards against a merge that takes sections from a document written without the operators' key
// and then signs them.
func TestUnprovedIsNotMerged(t *testing.T) {
	is := is.New(t)
	d := newDistributor(document(3, 3, 10))
	d.Check = func(stored hornbeamcroft.StoredDocument) error {
		if string(stored.Proof) != "proof" {
			return errors.New("no proof")
		}
		return nil
	}
	d.Sign = func(stored *hornbeamcroft.StoredDocument) error { stored.Proof = []byte("proof"); return nil }
	forged := document(3, 3, 10, 1)
	is.True(d.OnRead(forged, 9).Write == nil)
	forged.Revision = 2
	is.Equal(d.OnRead(forged, 9).Write.Document, d.Newest())
	edited := document(2, 3, 10, 1)
	edited.Proof = []byte("proof")
	merged := d.OnRead(edited, 9).Write
	is.True(merged.Merge)
	is.Equal(merged.Document.Revision, uint64(4))
	is.Equal(string(merged.Document.Proof), "proof")
}

// TestAbandonedParts guards against a document of a high revision whose parts never arrive completely and that blocks
// documents of lower revisions.
func TestAbandonedParts(t *testing.T) {
	is := is.New(t)
	d := newDistributor(document(1, 3, 10))
	d.OnPart(0, distributor.DocumentPart{Revision: 1 << 40, Hash: 1, Parts: 2})
	whole := newDistributor(document(2, 300, 1000)).OnDigest(0, distributor.Digest{Revision: 1, NeedWhole: true}).Reply
	_, accepted := deliver(d, time.Second, whole)
	is.True(!accepted)
	_, accepted = deliver(d, time.Minute, whole)
	is.True(accepted)
}

// TestBoundsAgree guards against a section or document that the parser accepts and that exceeds the bounds of messages.
func TestBoundsAgree(t *testing.T) {
	is := is.New(t)
	is.Equal(parser.MaxSection, distributor.MaxText)
	is.True(parser.MaxDocument/(distributor.MaxMessage-parser.MaxSection) < 64) // maxParts
}

// TestConverges guards against nodes that keep different documents, or return to a lower revision, after any sequence
// of edits, lost messages and restarts. After three exchanges of digests without loss all nodes must have the newest
// document.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*distributor.Distributor, 4)
		for i := range nodes {
			nodes[i] = &distributor.Distributor{Check: acceptAny}
		}
		revision, now := uint64(0), time.Duration(0)
		exchange := func(lossless bool) {
			for a := range nodes {
				for b := range nodes {
					digest := nodes[a].Digest()
					messages, to, other := []distributor.Message{{Digest: &digest}}, b, a
					for len(messages) > 0 && (lossless || rapid.Bool().Draw(t, "delivered")) {
						before := nodes[to].Digest().Revision
						messages, _ = deliver(nodes[to], now, messages)
						if nodes[to].Digest().Revision < before {
							t.Fatalf("revision fell from %d to %d", before, nodes[to].Digest().Revision)
						}
						to, other = other, to
					}
				}
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += 300 * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				revision++
				n := rapid.IntRange(1, 6).Draw(t, "sections")
				nodes[rapid.IntRange(0, 3).Draw(t, "relay")].OnWatch(document(revision, n, 10, rapid.IntRange(0, 5).Draw(t, "edited")))
			case 2:
				exchange(false)
			case 3:
				nodes[rapid.IntRange(0, 2).Draw(t, "restarted")] = &distributor.Distributor{Check: acceptAny}
			}
		}
		newest := distributor.Digest{}
		for _, n := range nodes {
			if digest := n.Digest(); digest.Revision > newest.Revision {
				newest = digest
			}
		}
		for range 3 {
			now += 2 * time.Second
			exchange(true)
		}
		for i, n := range nodes {
			if n.Digest() != newest {
				t.Fatalf("node %d has %v, newest is %v", i, n.Digest(), newest)
			}
		}
	})
}

// FuzzMessages guards against a panic, a falling revision or a wrong hash of the newest document after any message of
// another node.
func FuzzMessages(f *testing.F) {
	from := newDistributor(document(1, 5, 10))
	from.OnWatch(document(2, 6, 10, 2))
	digest := from.Digest()
	delta := from.OnDigest(0, distributor.Digest{Revision: 1, Hash: 1}).Reply[0].Delta
	whole := from.OnDigest(0, distributor.Digest{Revision: 1, NeedWhole: true}).Reply[0].Part
	for kind, v := range []any{digest, delta, whole, distributor.DocumentPart{Revision: 3, Parts: 1 << 31}} {
		data, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(min(kind, 2), data)
	}
	f.Fuzz(func(t *testing.T, kind int, data []byte) {
		d := newDistributor(document(1, 5, 10))
		var m distributor.Message
		var err error
		switch kind {
		case 0:
			m.Digest = &distributor.Digest{}
			err = cbor.Unmarshal(data, m.Digest)
		case 1:
			m.Delta = &distributor.Delta{}
			err = cbor.Unmarshal(data, m.Delta)
		default:
			m.Part = &distributor.DocumentPart{}
			err = cbor.Unmarshal(data, m.Part)
		}
		if err != nil {
			return
		}
		_, accepted := deliver(d, 0, []distributor.Message{m})
		if digest := d.Digest(); accepted != (digest.Revision > 1) || digest.Hash != distributor.HashOf(d.Newest()) {
			t.Errorf("accepted %v, holds %v", accepted, digest)
		}
	})
}

func ExampleDistributor() {
	relay := newDistributor(document(1, 3, 10))
	node := newDistributor(document(1, 3, 10))
	push := relay.OnWatch(document(2, 3, 10, 1)).Push
	fmt.Println(len(push[0].Delta.Changed), node.OnDelta(0, *push[0].Delta).Accepted, node.Newest().Revision)
	// Output: 1 true 2
}

// BenchmarkDelta measures the distribution of one edit: the relay accepts the document and makes the delta, and a node
// applies the delta. The documents have the planned 442 sections. Check accepts any document and costs nothing.
func BenchmarkDelta(b *testing.B) {
	first, second := document(1, 442, 190), document(2, 442, 190, 17)
	base := newDistributor(first)
	push := base.OnWatch(second).Push
	data, err := cbor.Marshal(push[0].Delta)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("relay", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			d := newDistributor(first)
			b.StartTimer()
			d.OnWatch(second)
		}
	})
	b.Run("node", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			d := newDistributor(first)
			b.StartTimer()
			if !d.OnDelta(0, *push[0].Delta).Accepted {
				b.Fatal("not accepted")
			}
		}
		b.ReportMetric(float64(len(data)), "delta-bytes")
	})
}
