// Package bodyreader reads bodies of HTTP messages into memory that is reserved before it is held.
package bodyreader

import (
	"io"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// initialBytes is the size up to which a body is allocated at once by its declared length. A longer body grows as its bytes
// arrive, so that a declared length alone holds little memory.
const initialBytes = 256 << 10

// unknownBytes is the initial size for a body without a declared length.
const unknownBytes = 4 << 10

// Errors of Read.
var (
	ErrTooLarge = errors.New("body exceeds the size limit")
	ErrNoMemory = errors.New("no memory left for the body")
)

// BodyReader reads one body. Set the exported fields before Read.
type BodyReader struct {
	// Limit is the maximum size of the body in bytes; zero means no limit.
	Limit int
	// Memory is the account from which the body is reserved; nil if it is not accounted for.
	Memory hornbeamcroft.Memory
	// OnProgress is called each time bytes have arrived, with the size of the body so far; it may be nil.
	OnProgress func(bytes int)
}

// Read reads the body from r. Length is the declared length in bytes, or negative if there is none. A body with a declared
// length that ends early is reported as io.ErrUnexpectedEOF.
func (b BodyReader) Read(r io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if b.Limit > 0 && length > int64(b.Limit) {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes of at most %d", length, b.Limit)
	}
	size := unknownBytes
	if length > 0 {
		size = int(min(length, initialBytes))
	}
	body, err := b.grow(nil, size)
	if err != nil {
		return nil, err
	}
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if n > 0 && b.OnProgress != nil {
			b.OnProgress(len(body))
		}
		done, err := b.isDone(body, length, err)
		if done || err != nil {
			return body, err
		}
		if len(body) == cap(body) {
			if body, err = b.grow(body, b.nextSize(len(body), length)); err != nil {
				return nil, err
			}
		}
	}
}

// isDone reports whether the body is complete after a read that returned readErr, or returns the reason why it never will be.
func (b BodyReader) isDone(body []byte, length int64, readErr error) (bool, error) {
	if b.Limit > 0 && len(body) > b.Limit {
		return false, errors.Wrapf(ErrTooLarge, "more than %d bytes", b.Limit)
	}
	if int64(len(body)) == length {
		return true, nil
	}
	if readErr == io.EOF {
		if length > 0 {
			return false, io.ErrUnexpectedEOF
		}
		return true, nil
	}
	return false, readErr
}

// nextSize returns the size to which a full buffer of the size grows.
func (b BodyReader) nextSize(size int, length int64) int {
	next := 2 * size
	if length > 0 {
		next = int(min(int64(next), length))
	}
	if b.Limit > 0 {
		next = min(next, b.Limit+1) // one byte more shows that the body is too large
	}
	return next
}

// grow returns a copy of body with the given capacity, for which it has reserved the memory.
func (b BodyReader) grow(body []byte, size int) ([]byte, error) {
	if b.Memory != nil && !b.Memory.Reserve(size-cap(body)) {
		return nil, ErrNoMemory
	}
	return append(make([]byte, 0, size), body...), nil
}
