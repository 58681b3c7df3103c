package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"io"
)

// Request is a whole request of a caller. All VMs compute the same identity for requests
// of the same team with the same method, host, target and body. It is not safe for
// concurrent use.
type Request struct {
	team, method, host, target string
	body                       []byte
	outline                    Outline
	// subject is 0 until it is computed.
	subject Subject
}

// Outline identifies requests that differ at most in the content of their bodies. It is
// computed without reading the body.
type Outline uint64

// NewRequest returns a request. Team is the name of the caller's team, empty for none,
// target the path with the query. The body must not be changed afterwards.
func NewRequest(team, method, host, target string, body []byte) *Request {
	r := &Request{team: team, method: method, host: host, target: target, body: body}
	h := fnv.New64a()
	r.writeHead(h)
	r.outline = Outline(h.Sum64())
	return r
}

// Subject returns the identity of the request. The first call reads the whole body. The
// hash is a cryptographic one, so that no team can make a request with the identity of
// another team's.
func (r *Request) Subject() Subject {
	if r.subject == 0 {
		h := sha256.New()
		r.writeHead(h)
		_, _ = h.Write(r.body) // never returns an error
		r.subject = wholeRequest | Subject(binary.BigEndian.Uint64(h.Sum(nil)))
	}
	return r.subject
}

// writeHead writes all but the content of the body, each field after its length.
func (r *Request) writeHead(w io.Writer) {
	var head []byte
	for _, field := range []string{r.team, r.method, r.host, r.target} {
		head = binary.AppendUvarint(head, uint64(len(field)))
		head = append(head, field...)
	}
	head = binary.AppendUvarint(head, uint64(len(r.body)))
	_, _ = w.Write(head) // a hash never returns an error
}
