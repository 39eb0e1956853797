// Package headchecker checks the bytes of the head of an HTTP/1 answer before it is parsed. net/http accepts heads that HTTP does not
// allow, and takes fields, a length or an end from them that the sender did not mean: names of fields with spaces, lines that continue
// the value of the field before them, and line ends that differ within a head.
package headchecker

import (
	"unicode/utf8"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// FieldBytes is what a parsed field takes besides its text: an entry of the header's map, a list with its value, and the unused part of
// the map.
const FieldBytes = 128

// encodingName is the name of the field by which HTTP/1.0 does not delimit a body.
const encodingName = "transfer-encoding"

// Reasons why a head is malformed.
var (
	ErrFieldName = errors.New("name of a field has characters that are not allowed")
	ErrNoColon   = errors.New("line of a field has no colon")
	ErrLineEnd   = errors.New("lines of the head do not end alike")
)

// place is where in a head the next byte stands.
type place uint8

const (
	statusLine place = iota
	lineStart
	fieldName
	fieldValue
	behindHead
)

// HeadChecker checks one head. The zero value expects the first byte of a status line. It does not check the status line, or the
// characters of values, which net/http does.
type HeadChecker struct {
	place place
	// afterCR is true if the last byte was a CR.
	afterCR bool
	// crlf is true if the status line ended with CR and LF, and false if with LF only. All lines must end alike, because an LF in
	// place of another byte may look like the end of a line, or of the head.
	crlf bool
	// bytes and fields count those of the head so far.
	bytes, fields int
	// matched is how many bytes of encodingName the present name begins with; negative if it has others. encoded is true once a field
	// had this name.
	matched int
	encoded bool
}

// Encoded reports whether the head, as far as it was checked, has a field Transfer-Encoding.
func (h *HeadChecker) Encoded() bool { return h.encoded }

// Cost returns the memory in bytes that the head takes, as far as it was checked, when it is parsed.
func (h *HeadChecker) Cost() int { return h.bytes + h.fields*FieldBytes }

// Check checks the next bytes, and returns the reason if they make the head malformed. Bytes behind the end of the head are ignored.
func (h *HeadChecker) Check(p []byte) error {
	for _, b := range p {
		if h.place == behindHead {
			return nil
		}
		if err := h.next(b); err != nil {
			return err
		}
		h.afterCR = b == '\r'
		h.bytes++
	}
	return nil
}

// next checks the next byte.
func (h *HeadChecker) next(b byte) error {
	switch {
	case b == '\n':
		return h.endLine()
	case h.place == statusLine || h.place == fieldValue:
		return nil
	case h.place == lineStart && b == '\r' && !h.afterCR:
		return nil
	case h.place == fieldName && b == ':':
		h.place = fieldValue
		h.encoded = h.encoded || h.matched == len(encodingName)
		return nil
	case h.afterCR || b >= utf8.RuneSelf || !httpguts.IsTokenRune(rune(b)):
		return ErrFieldName
	case h.place == lineStart:
		h.place, h.matched = fieldName, 0
		h.fields++
	}
	h.match(b)
	return nil
}

// match compares the next byte of a name with encodingName.
func (h *HeadChecker) match(b byte) {
	if b >= 'A' && b <= 'Z' {
		b += 'a' - 'A'
	}
	if h.matched >= 0 && h.matched < len(encodingName) && encodingName[h.matched] == b {
		h.matched++
	} else {
		h.matched = -1
	}
}

// endLine ends a line.
func (h *HeadChecker) endLine() error {
	switch {
	case h.place == statusLine:
		h.crlf = h.afterCR
		h.place = lineStart
	case h.place == fieldName:
		return ErrNoColon
	case h.afterCR != h.crlf:
		return ErrLineEnd
	case h.place == lineStart:
		h.place = behindHead
	default:
		h.place = lineStart
	}
	return nil
}
