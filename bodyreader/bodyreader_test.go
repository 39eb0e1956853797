package bodyreader

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft/reserver"
)

// endless is a body without end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// TestRead guards against bodies that are read incompletely, and against an end that is taken for a whole body.
func TestRead(t *testing.T) {
	long := strings.Repeat("x", 3*initialBytes+1)
	for name, c := range map[string]struct {
		body   string
		length int64
		limit  int
		err    error
	}{
		"empty":               {"", 0, 0, nil},
		"empty without end":   {"", -1, 0, nil},
		"length":              {"abc", 3, 3, nil},
		"length and more":     {"abc", 3, 0, nil},
		"long":                {long, int64(len(long)), 0, nil},
		"long without length": {long, -1, len(long), nil},
		"too long":            {"abcd", 4, 3, ErrTooLarge},
		"too long, no length": {long, -1, len(long) - 1, ErrTooLarge},
		"ends early":          {"ab", 3, 0, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, r := range []io.Reader{strings.NewReader(c.body), iotest.HalfReader(strings.NewReader(c.body)), iotest.DataErrReader(strings.NewReader(c.body))} {
				body, err := BodyReader{Limit: c.limit}.Read(r, c.length)
				is.True(errors.Is(err, c.err))
				if c.err == nil {
					is.True(bytes.Equal(body, []byte(c.body)))
				}
			}
		})
	}
}

// TestMemory guards against bytes that are held before they are reserved, and against a declared length that reserves memory
// for bytes that do not come.
func TestMemory(t *testing.T) {
	is := is.New(t)
	r := &reserver.Reserver{Limit: 1 << 20}
	a, e := r.Open(), &endless{}
	_, err := BodyReader{Memory: a}.Read(e, -1)
	is.True(errors.Is(err, ErrNoMemory))
	is.True(e.read <= 1<<20)
	is.True(r.Reserved() <= 1<<20)
	a.Close()

	a = r.Open()
	_, err = BodyReader{Memory: a}.Read(strings.NewReader("x"), 1<<30)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(r.Reserved() <= initialBytes)
}

// FuzzRead guards against bodies that are longer than the limit or the reserved memory.
func FuzzRead(f *testing.F) {
	f.Add([]byte("abc"), int64(3), 8)
	f.Add([]byte("abc"), int64(-1), 2)
	f.Fuzz(func(t *testing.T, text []byte, length int64, limit int) {
		limit &= 0xffff
		r := &reserver.Reserver{Limit: 1 << 14}
		body, err := BodyReader{Limit: limit, Memory: r.Open()}.Read(bytes.NewReader(text), length)
		if limit > 0 && len(body) > limit && err == nil || int64(cap(body)) > r.Reserved() {
			t.Fatalf("%d bytes of at most %d, %d reserved: %v", len(body), limit, r.Reserved(), err)
		}
	})
}
