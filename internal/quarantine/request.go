package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
)

// outlineBytes is how many bytes of each end of a body are part of an Outline.
const outlineBytes = 4 << 10

// Request is a whole request of a caller. All VMs compute the same identity for requests
// of the same team with the same method, host, target and body. It is not safe for
// concurrent use.
type Request struct {
	// head holds all but the content of the body.
	head    []byte
	body    []byte
	outline Outline
	// subject is 0 until it is computed.
	subject Subject
}

// Outline identifies requests that differ at most in the middle of long bodies.
type Outline uint64

// NewRequest returns a request. Team is the name of the caller's team, empty for none,
// target the path with the query. The body must not be changed afterwards.
func NewRequest(team, method, host, target string, body []byte) *Request {
	r := &Request{head: make([]byte, 0, 32+len(team)+len(method)+len(host)+len(target)), body: body}
	for _, field := range []string{team, method, host, target} { // each after its length
		r.head = binary.AppendUvarint(r.head, uint64(len(field)))
		r.head = append(r.head, field...)
	}
	r.head = binary.AppendUvarint(r.head, uint64(len(body)))
	begin := body[:min(len(body), outlineBytes)]
	end := body[max(len(begin), len(body)-outlineBytes):]
	r.outline = Outline(r.hash(begin, end))
	return r
}

// Subject returns the identity of the request. The first call reads the whole body.
func (r *Request) Subject() Subject {
	if r.subject == 0 {
		r.subject = wholeRequest | Subject(r.hash(r.body))
	}
	return r.subject
}

// hash returns 64 bits of a cryptographic hash: a team must not be able to make a request
// with the identity of another team's.
func (r *Request) hash(content ...[]byte) uint64 {
	h := sha256.New()
	for _, part := range append([][]byte{r.head}, content...) {
		_, _ = h.Write(part) // never returns an error
	}
	return binary.BigEndian.Uint64(h.Sum(make([]byte, 0, sha256.Size)))
}
