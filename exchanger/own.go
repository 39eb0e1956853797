package exchanger

import (
	"io"
	"net/http"
	"net/textproto"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Reasons why an answer that was read is not the upstream's own answer to the attempt.
var (
	errAnswerMismatch = errors.New("answer of the upstream names another attempt")
	errUnsigned       = errors.New("success of the upstream does not carry its signature exactly once")
	errBodyNotAllowed = errors.New("answer announces a body that its status does not allow")
	// errUnprovenRefusal is no reason not to accept an answer, but one not to pass it on.
	errUnprovenRefusal = errors.New("answer does not state that the request did not run, as its status says")
)

// answer is an answer as it was read from the connection.
type answer struct {
	response *http.Response
	body     []byte
	// unread is true if body is only the beginning of a body that is streamed.
	unread bool
	// bodyErr is the reason why the body, or its beginning, is not complete; nil if it is.
	bodyErr error
}

// keepsConnection reports whether the connection can carry another request after the answer.
func (a answer) keepsConnection() bool { return !a.response.Close && a.response.ProtoAtLeast(1, 1) }

// skip reads what is left of the body of a skipped answer, at most maxBody bytes, and reports whether that was all. What a streamed
// body has reserved is released.
func (a answer) skip(maxBody int, memory hornbeamcroft.Memory) bool {
	if !a.unread {
		return true
	}
	if memory != nil {
		memory.Release(cap(a.body))
	}
	_, err := io.CopyN(io.Discard, a.response.Body, int64(maxBody)+1)
	return err == io.EOF
}

// checkOwn returns nil if the answer is the upstream's own answer to the attempt, and otherwise the reason. This is decided here only;
// hornbeamcroft.ClaimRan relies on it. The answer must name the attempt and be complete, or as far as it is read if it is streamed, and a
// success must be signed: an upstream in trouble corrupts single bytes of heads. Other answers need no signature, because a caller
// concludes nothing from them that needs one.
func (n HeaderNames) checkOwn(a answer, attempt string) error {
	r := a.response
	switch {
	case r.Header.Get(n.Attempt) != attempt:
		return errAnswerMismatch
	case a.bodyErr != nil:
		return a.bodyErr
	case r.StatusCode < 200 || r.StatusCode > 299:
		return nil
	case n.Signature != "" && !signed(r.Header, n.Signature):
		return errUnsigned
	case r.StatusCode == http.StatusNoContent && announcesBody(r):
		return errBodyNotAllowed
	}
	return nil
}

// misdirected reports whether the answer is that of another instance than the request was addressed to. One that is signed is that of the
// instance which has run the request.
func (n HeaderNames) misdirected(r *http.Response) bool {
	if n.MisdirectedStatus == 0 || r.StatusCode != n.MisdirectedStatus {
		return false
	}
	return r.Header.Get(n.NotRun) != "" || r.Header.Get(n.Signature) == ""
}

// signed reports whether the header has exactly one field of the name, which is not empty and is passed on.
func signed(h http.Header, name string) bool {
	name = textproto.CanonicalMIMEHeaderKey(name)
	return len(h[name]) == 1 && h[name][0] != "" && !hopByHop(name, h)
}

// announcesBody reports whether the head states a body of more than no bytes.
func announcesBody(r *http.Response) bool {
	length := r.Header.Get("Content-Length")
	return length != "" && length != "0" || len(r.TransferEncoding) > 0
}
