package headreader

import (
	"bufio"
	"io"
)

// bodyReader reads the bytes of a body: first those that have arrived, then from the connection.
type bodyReader struct {
	h    *HeadReader
	conn io.Reader
}

func (b bodyReader) Read(p []byte) (int, error) {
	if b.h.Buffered() > 0 {
		n := copy(p, b.h.buf[b.h.start:b.h.end])
		b.h.start += n
		b.h.line, b.h.scanned = b.h.start, b.h.start
		return n, nil
	}
	return b.conn.Read(p)
}

// OpenBody lets the body of the request read from the connection. Until CloseBody, only the body may use the HeadReader.
func (h *HeadReader) OpenBody(head *Head, conn io.Reader) {
	if head.source != nil {
		head.source.body = bodyReader{h: h, conn: conn}
	}
}

// CloseBody takes back the bytes behind the body that were read with it. The body must not be read any more.
func (h *HeadReader) CloseBody(head *Head) {
	if head.reader == nil {
		return
	}
	if n := head.reader.Buffered(); n > 0 {
		rest, _ := head.reader.Peek(n)
		h.unread(rest)
	}
	release(head.reader)
	head.reader, head.source.body = nil, nil
}

// release returns a reader to the pool.
func release(r *bufio.Reader) {
	r.Reset(nil)
	readers.Put(r)
}

// unread puts bytes before those that have arrived. They are at most InitialBytes, as the readers have this size, so that they fit
// into an empty buffer, or into the place in the buffer that they came from.
func (h *HeadReader) unread(b []byte) {
	switch {
	case h.start == h.end:
		if len(h.buf) < len(b) {
			h.buf = make([]byte, InitialBytes)
		}
		h.start, h.end = 0, len(b)
	case h.start >= len(b):
		h.start -= len(b)
	default:
		rest := h.buf[h.start:h.end]
		h.buf = append(append(make([]byte, 0, len(b)+len(rest)), b...), rest...)
		h.start, h.end = 0, len(h.buf)
	}
	copy(h.buf[h.start:], b)
	h.line, h.scanned = h.start, h.start
}
