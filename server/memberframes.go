package server

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/tracker"
)

// memberFrameType returns the frame type of a tracker message.
func memberFrameType(msg tracker.Message) framer.Type {
	switch msg.(type) {
	case tracker.Heartbeat:
		return framer.TypeHeartbeat
	case tracker.Suspicion:
		return framer.TypeMemberSuspect
	case tracker.RosterChange:
		return framer.TypeRosterChange
	}
	return framer.TypeRosterDigest
}

// send sends a message that the tracker returned.
func (m *membership) send(o tracker.Outgoing) {
	m.deliver(o.To, o.Address, memberFrameType(o.Message), o.Message)
}

// deliver sends a message in the background over an open link to the member, or over a link that it dials within 1 s. A
// message that cannot be sent is dropped, since tracker, quarantiner and owner tolerate lost messages.
func (m *membership) deliver(name, address string, t framer.Type, message any) {
	l := m.s.links.LinkTo(name)
	if l == nil && address != "" {
		l = m.s.links.DialedLink(address)
	}
	if l != nil {
		go func() { _ = l.Send(t, message) }()
		return
	}
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if l, err := m.s.links.Link(ctx, address); err == nil {
			_ = l.Send(t, message)
		}
	}()
}

// linkUp sends the digest of the document over a new link and reports the link to the tracker.
func (m *membership) linkUp(l *connector.Link) {
	m.s.documents.sendDigest(l)
	m.step(func(now time.Duration) []tracker.Outgoing { return m.tracker.LinkUp(now, l.Peer.Name) })
}

// receive decodes a message of another node and passes it to the tracker.
func (m *membership) receive(l *connector.Link, t framer.Type, payload []byte) error {
	msg, err := decodeMemberMessage(t, payload)
	if err != nil {
		return err
	}
	m.step(func(now time.Duration) []tracker.Outgoing { return m.tracker.Receive(now, l.Peer.Name, msg) })
	return nil
}

func decodeMemberMessage(t framer.Type, payload []byte) (tracker.Message, error) {
	switch t {
	case framer.TypeHeartbeat:
		return decodeAs[tracker.Heartbeat](payload)
	case framer.TypeMemberSuspect:
		return decodeAs[tracker.Suspicion](payload)
	case framer.TypeRosterChange:
		return decodeAs[tracker.RosterChange](payload)
	case framer.TypeRosterDigest:
		return decodeAs[tracker.RosterDigest](payload)
	}
	return nil, errors.Errorf("unexpected frame type %d", t)
}

// decodeAs decodes a message of type T, whose Check method has a value receiver, and checks it.
func decodeAs[T framer.Checker](payload []byte) (framer.Checker, error) {
	var v T
	if err := framer.Decode(payload, any(&v).(framer.Checker)); err != nil {
		return nil, err
	}
	return v, nil
}

// sendTo sends a control message to the named member. It drops the message if the member is not known.
func (m *membership) sendTo(name string, t framer.Type, message any) {
	view, ok := m.lookup(name)
	if !ok {
		return
	}
	m.deliver(name, view.Address, t, message)
}
