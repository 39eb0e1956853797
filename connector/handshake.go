package connector

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"

	"hornbeamcroft/framer"
)

// protocolVersion is sent in the hello; nodes with another version are refused.
const protocolVersion = 1

// handshake exchanges nonces and hellos. Each end proves that it holds the cluster key by an HMAC over the peer's nonce,
// its own nonce, its role and its identity, so that a recorded handshake cannot be replayed or reflected.
func (c *Connector) handshake(conn *websocket.Conn, dialed bool) (framer.Hello, error) {
	var none framer.Hello
	deadline := time.Now().Add(handshakeTimeout)
	_ = conn.SetReadDeadline(deadline)
	_ = conn.SetWriteDeadline(deadline)
	conn.SetReadLimit(4096)

	own := framer.Nonce{Value: make([]byte, framer.NonceSize)}
	_, _ = rand.Read(own.Value)
	if err := writeFrame(conn, framer.TypeNonce, own); err != nil {
		return none, err
	}
	var theirs framer.Nonce
	if err := readFrame(conn, framer.TypeNonce, &theirs); err != nil {
		return none, err
	}
	hello := c.Self()
	hello.Version = protocolVersion
	hello.Proof = c.proof(hello, theirs.Value, own.Value, dialed)
	if err := writeFrame(conn, framer.TypeHello, hello); err != nil {
		return none, err
	}
	var peer framer.Hello
	if err := readFrame(conn, framer.TypeHello, &peer); err != nil {
		return none, err
	}
	if peer.Version != protocolVersion {
		return none, errors.Errorf("protocol version %d: allowed is %d", peer.Version, protocolVersion)
	}
	if !hmac.Equal(peer.Proof, c.proof(peer, own.Value, theirs.Value, !dialed)) {
		return none, errors.New("peer does not hold the cluster key")
	}
	_ = conn.SetReadDeadline(time.Time{})
	return peer, nil
}

func (c *Connector) proof(h framer.Hello, verifier, prover []byte, dialed bool) []byte {
	m := hmac.New(sha256.New, c.Key)
	role := byte(0)
	if dialed {
		role = 1
	}
	m.Write([]byte{role})
	m.Write(verifier)
	m.Write(prover)
	for _, s := range []string{h.Name, h.Zone, h.Service, h.Address} {
		m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s))))
		m.Write([]byte(s))
	}
	m.Write(binary.BigEndian.AppendUint64(nil, h.Incarnation))
	return m.Sum(nil)
}

func writeFrame(conn *websocket.Conn, t framer.Type, v any) error {
	frame, err := framer.Encode(t, v)
	if err != nil {
		return err
	}
	if err := conn.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return errors.Wrap(err, "handshake")
	}
	return nil
}

func readFrame(conn *websocket.Conn, want framer.Type, v framer.Checker) error {
	_, frame, err := conn.ReadMessage()
	if err != nil {
		return errors.Wrap(err, "handshake")
	}
	t, payload, err := framer.Split(frame)
	if err != nil {
		return err
	}
	if t != want {
		return errors.Errorf("handshake: frame type %d: allowed is %d", t, want)
	}
	return framer.Decode(payload, v)
}
