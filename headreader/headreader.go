// Package headreader reads the heads of HTTP/1 requests from the bytes of one connection, in memory that is reserved before it is
// held. It does no I/O: its user reads from the connection into the space that it gives out.
package headreader

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"hornbeamcroft/headchecker"
)

const (
	// InitialBytes is the size of the buffer that a connection always has. It is not reserved: the number of connections
	// bounds it.
	InitialBytes = 2 << 10
	// requestBytes is what a parsed request takes besides its fields.
	requestBytes = 1 << 10
)

// Errors of Space and Next. After any other than ErrNoMemory, the connection can carry no further request.
var (
	ErrTooLarge    = errors.New("head exceeds the size limit")
	ErrNoMemory    = errors.New("no memory left for the head")
	ErrMalformed   = errors.New("malformed request")
	ErrVersion     = errors.New("HTTP version not supported")
	ErrUnsupported = errors.New("transfer encoding not supported")
	ErrExpectation = errors.New("expectation not supported")
)

// Memory is the account that a head is reserved from.
type Memory interface {
	Reserve(bytes int) bool
	Release(bytes int)
}

// HeadReader reads the heads of one connection. Set the exported fields before first use. It is not safe for concurrent use.
type HeadReader struct {
	// MaxBytes and MaxFields bound one head, MaxEmptyLines the empty lines before it. MaxBytes may change between calls.
	MaxBytes, MaxFields, MaxEmptyLines int
	Memory                             Memory

	// buf[start:end] has arrived and is not consumed, and was searched for line ends up to scanned. The current line begins at
	// line.
	buf                       []byte
	start, end, line, scanned int
	// inHead is true once the request line has arrived. fields and emptyLines count those of the current head.
	inHead, hasHost    bool
	fields, emptyLines int
	// complete is the end of the current head in buf; zero while it is incomplete.
	complete int
	// reserved is the part of the account that buf takes.
	reserved int
}

// Head is a request whose head was read. Its body, if it has one, is read from the connection.
type Head struct {
	Request *http.Request
	// Bytes is the size of the head, Cost what was reserved for the parsed request. The user releases Cost when nothing of the
	// request is held any more.
	Bytes, Cost int

	source *source
	reader *bufio.Reader
}

// HasBody reports whether a body follows the head.
func (h *Head) HasBody() bool { return h.reader != nil }

// Space returns where to put the next bytes of the connection. It never returns an empty slice without an error.
func (h *HeadReader) Space() ([]byte, error) {
	if h.start == h.end {
		h.reset()
	}
	if h.end < len(h.buf) {
		return h.buf[h.end:], nil
	}
	if h.start > 0 {
		h.move(h.buf)
		return h.buf[h.end:], nil
	}
	if len(h.buf) > h.MaxBytes {
		return nil, ErrTooLarge
	}
	size := max(min(2*len(h.buf), h.MaxBytes+1), len(h.buf)+1)
	if !h.Memory.Reserve(size) {
		return nil, ErrNoMemory
	}
	h.move(make([]byte, size))
	h.Memory.Release(h.reserved)
	h.reserved = size
	return h.buf[h.end:], nil
}

// reset prepares the empty buffer for the next bytes, with its initial size.
func (h *HeadReader) reset() {
	h.line, h.scanned = 0, 0
	h.start, h.end = 0, 0
	if len(h.buf) != InitialBytes {
		h.buf = make([]byte, InitialBytes)
		h.Memory.Release(h.reserved)
		h.reserved = 0
	}
}

// move moves the unconsumed bytes to the start of the buffer to, which becomes the buffer.
func (h *HeadReader) move(to []byte) {
	copy(to, h.buf[h.start:h.end])
	h.end -= h.start
	h.line = max(h.line-h.start, 0)
	h.scanned = max(h.scanned-h.start, 0)
	h.complete = max(h.complete-h.start, 0)
	h.start, h.buf = 0, to
}

// Received tells how many bytes were put into the space.
func (h *HeadReader) Received(n int) { h.end += n }

// Buffered returns the number of bytes that have arrived and are not consumed.
func (h *HeadReader) Buffered() int { return h.end - h.start }

// Full reports whether the buffer must grow for further bytes.
func (h *HeadReader) Full() bool { return len(h.buf) > 0 && h.Buffered() == len(h.buf) }

// Began reports whether bytes of a head, or empty lines before it, have arrived.
func (h *HeadReader) Began() bool { return h.Buffered() > 0 || h.emptyLines > 0 }

// Discard drops all bytes that have arrived.
func (h *HeadReader) Discard() { h.start = h.end }

// Next returns the next request, or nil if its head is not complete yet. After ErrNoMemory it may be called again.
func (h *HeadReader) Next() (*Head, error) {
	if h.complete == 0 {
		if err := h.scan(); err != nil || h.complete == 0 {
			return nil, err
		}
	}
	size := h.complete - h.start
	cost := size + h.fields*headchecker.FieldBytes + requestBytes
	if !h.Memory.Reserve(cost) {
		return nil, ErrNoMemory
	}
	head := &Head{Bytes: size, Cost: cost}
	if err := h.parse(head); err != nil {
		h.Memory.Release(cost)
		return nil, err
	}
	return head, nil
}

// scan searches the bytes that have arrived for the end of the head.
func (h *HeadReader) scan() error {
	for {
		i := bytes.IndexByte(h.buf[h.scanned:h.end], '\n')
		if i < 0 {
			h.scanned = h.end
			break
		}
		text := bytes.TrimSuffix(h.buf[h.line:h.scanned+i], []byte{'\r'})
		h.scanned += i + 1
		h.line = h.scanned
		if err := h.countLine(text); err != nil {
			return err
		}
		if h.complete > 0 {
			break
		}
	}
	if h.end-h.start > h.MaxBytes && (h.complete == 0 || h.complete-h.start > h.MaxBytes) {
		return ErrTooLarge
	}
	return nil
}

// countLine counts one line without its end.
func (h *HeadReader) countLine(text []byte) error {
	switch {
	case len(text) == 0 && !h.inHead:
		h.start = h.line
		if h.emptyLines++; h.emptyLines > h.MaxEmptyLines {
			return errors.Wrap(ErrMalformed, "empty lines before a request")
		}
	case len(text) == 0:
		h.complete = h.line
	case !h.inHead:
		h.inHead = true
	default:
		if h.fields++; h.fields > h.MaxFields {
			return ErrTooLarge
		}
		h.hasHost = h.hasHost || isHostField(text)
	}
	return nil
}

// isHostField reports whether a line is the field Host.
func isHostField(text []byte) bool {
	const name = "host:"
	return len(text) >= len(name) && strings.EqualFold(string(text[:len(name)]), name)
}

// readers holds the buffered readers of requests that have no body left. net/http parses from a bufio.Reader only.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, InitialBytes) }}

// parse parses the complete head and consumes it.
func (h *HeadReader) parse(head *Head) error {
	src := &source{head: h.buf[h.start:h.complete]}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(src)
	r, err := http.ReadRequest(reader)
	hasHost, rest := h.hasHost, reader.Buffered()+len(src.head)
	h.start, h.complete, h.fields, h.emptyLines, h.inHead, h.hasHost = h.complete, 0, 0, 0, false, false
	if err == nil {
		err = check(r, hasHost, rest)
	} else {
		err = parseError(err)
	}
	if err != nil || r.Body == http.NoBody || r.Body == nil {
		release(reader)
		head.Request = r
		return err
	}
	head.Request, head.source, head.reader = r, src, reader
	return nil
}

// parseError returns the error for one of net/http.
func parseError(err error) error {
	// net/http does not export the type of this error.
	if strings.HasPrefix(err.Error(), "unsupported transfer encoding") {
		return ErrUnsupported
	}
	return errors.Wrap(ErrMalformed, err.Error())
}

// source is what the parser and then the body of one request read from: first the head, then the connection.
type source struct {
	head []byte
	body io.Reader
}

// Read reads from the rest of the head, or else from the connection.
func (s *source) Read(p []byte) (int, error) {
	if len(s.head) > 0 {
		n := copy(p, s.head)
		s.head = s.head[n:]
		return n, nil
	}
	if s.body == nil {
		return 0, io.EOF
	}
	return s.body.Read(p)
}
