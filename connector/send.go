package connector

import (
	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/framer"
)

// sendAnswer sends the answer to a call or an outcome query of the peer. If its head does not fit into a frame, the peer gets to know
// that instead, so that it does not wait or ask again.
func (l *Link) sendAnswer(a hornbeamcroft.Answer) {
	body := a.Body
	a.BodyLength = len(body)
	err := l.sendWithBody(framer.TypeAnswer, a.ID, body, func(inline []byte) any {
		a.Body = inline
		return a
	})
	if !errors.Is(err, framer.ErrTooLarge) {
		return
	}
	l.sendTruncated(a, err)
}

// sendTruncated tells the peer that the answer cannot be sent for the reason.
func (l *Link) sendTruncated(a hornbeamcroft.Answer, reason error) {
	l.connector.Log.Warn().Str("peer", l.Peer.Name).Uint64("id", a.ID).Err(reason).Msg("connector: answer not sent")
	_ = l.Send(framer.TypeAnswer, hornbeamcroft.Answer{
		ID: a.ID, Code: hornbeamcroft.CodeAnswerTruncated, UnspentRetries: a.UnspentRetries, RetryGranted: a.RetryGranted, Load: a.Load,
		AdmissionLevels: a.AdmissionLevels, ServiceCalls: a.ServiceCalls, ServiceTime: a.ServiceTime, Upstream: a.Upstream,
	})
}

// sendWithBody sends a call or an answer. Its frame is message(body), or message(nil) with the body in chunks behind it if the frame
// would be too large.
func (l *Link) sendWithBody(t framer.Type, id uint64, body []byte, message func(inline []byte) any) error {
	if len(body) <= framer.ChunkSize {
		err := l.Send(t, message(body))
		if len(body) == 0 || !errors.Is(err, framer.ErrTooLarge) {
			return err
		}
	}
	if err := l.Send(t, message(nil)); err != nil {
		return err
	}
	return l.sendBody(id, t == framer.TypeAnswer, body)
}

// sendBody sends a body in chunks. It releases the write lock between chunks, so that other frames are not delayed by a
// large body.
func (l *Link) sendBody(id uint64, answer bool, body []byte) error {
	for offset := 0; offset < len(body); offset += framer.ChunkSize {
		end := min(offset+framer.ChunkSize, len(body))
		b := framer.Body{ID: id, Answer: answer, Offset: offset, Data: body[offset:end], Last: end == len(body)}
		if err := l.Send(framer.TypeBody, b); err != nil {
			return err
		}
	}
	return nil
}
