package headchecker

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var reasons = map[string]error{"": nil, "name": ErrFieldName, "colon": ErrNoColon, "line end": ErrLineEnd}

// TestHeads guards against a malformed head that is accepted, and a well-formed one that is not, however its bytes are split. It plays
// testdata/heads.txt.
func TestHeads(t *testing.T) {
	text, err := os.ReadFile("testdata/heads.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		quoted, reason, _ := strings.Cut(strings.TrimRight(line, "\n"), " |")
		t.Run(quoted, func(t *testing.T) {
			is := is.New(t)
			head, err := strconv.Unquote(`"` + quoted + `"`)
			is.NoErr(err)
			want, ok := reasons[strings.TrimSpace(reason)]
			is.True(ok)
			var whole HeadChecker
			is.True(errors.Is(whole.Check([]byte(head)), want))
			for cut := range head {
				var split HeadChecker
				err := split.Check([]byte(head[:cut]))
				if err == nil {
					err = split.Check([]byte(head[cut:]))
				}
				is.True(errors.Is(err, want))
			}
		})
	}
}

// TestCost guards against a head that takes more memory than was reserved for it.
func TestCost(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\na:\r\nb: c\r\n\r\n"
	var h HeadChecker
	is.NoErr(h.Check([]byte(head + "body: x\r\n")))
	is.Equal(h.Cost(), len(head)+2*FieldBytes)
}

// TestEncoded guards against a field Transfer-Encoding that is not seen, and others that are taken for it.
func TestEncoded(t *testing.T) {
	for line, want := range map[string]bool{
		"Transfer-Encoding: chunked": true, "tRANSFER-eNCODING:": true, "X: y\r\nTransfer-Encoding: x\r\nZ: 1": true,
		"Transfer-Encodin: chunked": false, "Transfer-Encodings: chunked": false, "XTransfer-Encoding: x": false,
		"X: Transfer-Encoding: chunked": false, "Transfer-EncodingTransfer-Encoding: x": false,
	} {
		is := is.New(t)
		var h HeadChecker
		is.NoErr(h.Check([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n")))
		is.Equal(h.Encoded(), want)
	}
}
