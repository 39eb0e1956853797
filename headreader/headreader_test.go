package headreader

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft/reserver"
)

// conn is a connection whose bytes arrive in the parts of a list of sizes, which repeats.
type conn struct {
	text  string
	sizes []byte
	next  int
}

func (c *conn) Read(p []byte) (int, error) {
	if c.text == "" {
		return 0, io.EOF
	}
	size := 1
	if len(c.sizes) > 0 {
		size += int(c.sizes[c.next%len(c.sizes)])
		c.next++
	}
	n := copy(p[:min(size, len(p))], c.text)
	c.text = c.text[n:]
	return n, nil
}

// newReader returns a reader with small limits, whose heads are reserved from r.
func newReader(r *reserver.Reserver) *HeadReader {
	return &HeadReader{MaxBytes: 3000, MaxFields: 20, MaxEmptyLines: 2, Memory: r.Open()}
}

// readAll reads the requests on the connection and returns them as text, with the error at their end. Their memory is released.
func readAll(h *HeadReader, c io.Reader) (list []string, err error) {
	for {
		head, err := h.Next()
		if err != nil {
			return list, err
		}
		if head == nil {
			space, err := h.Space()
			if err != nil {
				return list, err
			}
			n, err := c.Read(space)
			h.Received(n)
			if err != nil {
				return list, err
			}
			continue
		}
		r := head.Request
		h.OpenBody(head, c)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return append(list, "body: "+err.Error()), io.EOF
		}
		h.CloseBody(head)
		list = append(list, fmt.Sprint(r.Method, r.RequestURI, r.Proto, r.Host, r.Header, r.Trailer, r.ContentLength, string(body)))
		h.Memory.Release(head.Cost)
	}
}

// FuzzSplits guards against requests that are read differently when their bytes arrive in other packets, against requests that
// net/http would read differently, and against memory that is not released.
func FuzzSplits(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nX: 1\r\n\r\n", []byte{0, 3, 200})
	f.Add("POST / HTTP/1.1\nHost: h\nContent-Length: 5\n\nhelloGET / HTTP/1.0\n\n", []byte{9})
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", []byte{40, 0})
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n \r\nX: 1\r\n\r\n", []byte{})
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2500)+"\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", []byte{255})
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"+strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 90), []byte{255, 255, 7})
	f.Fuzz(func(t *testing.T, text string, sizes []byte) {
		is := is.New(t)
		r := &reserver.Reserver{}
		whole, wholeErr := readAll(newReader(r), &conn{text: text, sizes: []byte{255}})
		h := newReader(r)
		split, splitErr := readAll(h, &conn{text: text, sizes: sizes})
		is.Equal(whole, split)
		is.Equal(fmt.Sprint(wholeErr), fmt.Sprint(splitErr))
		is.True(len(h.buf) <= h.MaxBytes+1+InitialBytes)
		reader := bufio.NewReader(strings.NewReader(skipEmptyLines(text)))
		if len(split) == 0 || strings.HasPrefix(split[0], "body: ") {
			return
		}
		req, err := http.ReadRequest(reader)
		is.NoErr(err)
		body, err := io.ReadAll(req.Body)
		is.NoErr(err)
		is.Equal(split[0], fmt.Sprint(req.Method, req.RequestURI, req.Proto, req.Host, req.Header, req.Trailer, req.ContentLength, string(body)))
	})
}

// skipEmptyLines returns the text without the empty lines at its start.
func skipEmptyLines(text string) string {
	for {
		rest, ok := strings.CutPrefix(text, "\r\n")
		if !ok {
			rest, ok = strings.CutPrefix(text, "\n")
		}
		if !ok {
			return text
		}
		text = rest
	}
}

// TestLimits guards against heads beyond a limit that are read, and heads within it that are not.
func TestLimits(t *testing.T) {
	const line, end = "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
	fill := func(size int) string {
		return line + "X: " + strings.Repeat("x", size-len(line+"X: \r\n"+end)) + "\r\n" + end
	}
	for name, c := range map[string]struct {
		text string
		err  error
	}{
		"size at the limit":         {fill(3000), io.EOF},
		"size above":                {fill(3001), ErrTooLarge},
		"no end":                    {strings.Repeat("x", 4000), ErrTooLarge},
		"fields at the limit":       {line + strings.Repeat("a:\r\n", 19) + end, io.EOF},
		"fields above":              {line + strings.Repeat("a:\r\n", 20) + end, ErrTooLarge},
		"empty lines at the limit":  {"\r\n\n" + line + end, io.EOF},
		"empty lines above":         {"\r\n\n\r\n" + line + end, ErrMalformed},
		"HTTP/2":                    {"PRI * HTTP/2.0\r\n\r\n", ErrVersion},
		"no host":                   {"GET / HTTP/1.1\r\n\r\n", ErrMalformed},
		"two hosts":                 {line + "Host: i\r\n" + end, ErrMalformed},
		"bad host":                  {"GET / HTTP/1.1\r\nHost: a b\r\n\r\n", ErrMalformed},
		"line of spaces":            {line + " \r\nX: 1\r\n" + end, ErrMalformed},
		"unknown encoding":          {line + "Transfer-Encoding: gzip\r\n" + end, ErrUnsupported},
		"unknown expectation":       {line + "Expect: money\r\n" + end, ErrExpectation},
		"control in a value":        {line + "X: a\x01b\r\n" + end, ErrMalformed},
		"space before the colon":    {line + "X : 1\r\n" + end, ErrMalformed},
		"several requests in a row": {strings.Repeat(line+end, 200), io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &reserver.Reserver{}
			h := newReader(r)
			_, err := readAll(h, &conn{text: c.text, sizes: []byte{255}})
			is.True(errors.Is(err, c.err))
			_, _ = h.Space()
			if c.err == io.EOF {
				is.Equal(r.Reserved(), int64(0)) // all is released once the heads are consumed
			}
		})
	}
}

// TestMemory guards against a head that is held without a reservation, and against one that is lost because there was no memory for it
// at first.
func TestMemory(t *testing.T) {
	is := is.New(t)
	r := &reserver.Reserver{Limit: 10000}
	other := r.Open()
	is.True(other.Reserve(5000))
	h := newReader(r)
	c := &conn{text: "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2500) + "\r\n\r\n", sizes: []byte{255}}
	_, err := readAll(h, c)
	is.True(errors.Is(err, ErrNoMemory)) // the buffer fits, the request does not
	other.Close()
	head, err := h.Next()
	is.NoErr(err)
	is.Equal(len(head.Request.Header.Get("X")), 2500)
	is.True(r.Reserved() >= 2*2500)
}
