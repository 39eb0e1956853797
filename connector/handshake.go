package connector

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"

	"hornbeamcroft/framer"
)

// protocolVersion is sent in the hello. A link to a node with another version is rejected.
const protocolVersion = 1

// handshake exchanges nonces and hellos and returns the hello of the peer. Each end proves that it has the cluster key
// by an HMAC over its role, the peer's nonce, its own nonce and its identity, so that a recorded handshake can be
// neither replayed nor reflected.
func (c *Connector) handshake(conn *websocket.Conn, dialed bool) (framer.Hello, error) {
	var none framer.Hello
	deadline := time.Now().Add(handshakeTimeout)
	_ = conn.SetReadDeadline(deadline)
	_ = conn.SetWriteDeadline(deadline)
	conn.SetReadLimit(4096)

	ownNonce := framer.Nonce{Value: make([]byte, framer.NonceSize)}
	_, _ = rand.Read(ownNonce.Value)
	if err := writeHandshakeFrame(conn, framer.TypeNonce, ownNonce); err != nil {
		return none, err
	}
	var peerNonce framer.Nonce
	if err := readHandshakeFrame(conn, framer.TypeNonce, &peerNonce); err != nil {
		return none, err
	}
	hello := c.Self()
	hello.Version, hello.NewestType = protocolVersion, framer.NewestType
	hello.Proof = c.computeProof(hello, peerNonce.Value, ownNonce.Value, dialed)
	if err := writeHandshakeFrame(conn, framer.TypeHello, hello); err != nil {
		return none, err
	}
	var peer framer.Hello
	if err := readHandshakeFrame(conn, framer.TypeHello, &peer); err != nil {
		return none, err
	}
	if peer.Version != protocolVersion {
		return none, errors.Errorf("handshake: peer has protocol version %d, expected %d", peer.Version, protocolVersion)
	}
	if !hmac.Equal(peer.Proof, c.computeProof(peer, ownNonce.Value, peerNonce.Value, !dialed)) {
		return none, errors.New("handshake: peer does not have the same cluster key")
	}
	_ = conn.SetReadDeadline(time.Time{})
	return peer, nil
}

// computeProof returns the HMAC-SHA-256 under the cluster key that proves the hello h. The nonces are those of the end
// that verifies the proof and of the end that sends it; dialed is true if the sending end dialed.
func (c *Connector) computeProof(h framer.Hello, verifierNonce, proverNonce []byte, dialed bool) []byte {
	m := hmac.New(sha256.New, c.Key)
	role := byte(0)
	if dialed {
		role = 1
	}
	m.Write([]byte{role})
	m.Write(verifierNonce)
	m.Write(proverNonce)
	for _, s := range []string{h.Name, h.Zone, h.Service, h.Address} {
		m.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s))))
		m.Write([]byte(s))
	}
	m.Write(binary.BigEndian.AppendUint64(nil, h.Incarnation))
	return m.Sum(nil)
}

func writeHandshakeFrame(conn *websocket.Conn, t framer.Type, v any) error {
	var buf bytes.Buffer
	if err := framer.Encode(&buf, t, v); err != nil {
		return err
	}
	if err := conn.WriteMessage(websocket.BinaryMessage, buf.Bytes()); err != nil {
		return errors.Wrap(err, "handshake")
	}
	return nil
}

func readHandshakeFrame(conn *websocket.Conn, want framer.Type, v framer.Checker) error {
	_, frame, err := conn.ReadMessage()
	if err != nil {
		return errors.Wrap(err, "handshake")
	}
	t, payload, err := framer.Split(frame)
	if err != nil {
		return err
	}
	if t != want {
		return errors.Errorf("handshake: got frame type %d, expected %d", t, want)
	}
	return framer.Decode(payload, v)
}
