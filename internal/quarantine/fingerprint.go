package quarantine

import (
	"encoding/binary"
	"hash"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/crypto/blake2b"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Request holds the parts of a request that identify it. The identifier and the deadline are left out,
// because they differ when the request is sent again, and so is the caller's address, which servers do not get.
type Request struct {
	Method, Host, URI []byte
	// Caller identifies the caller by what its server gets of it; see CallerOf. It is empty for anonymous callers.
	Caller string
	// Key is the value of the header with the request's key; empty if there is none.
	Key []byte
	// Body is the body in any number of parts.
	Body [][]byte
}

// Hasher computes keyed fingerprints. It is safe for concurrent use.
type Hasher struct{ key []byte }

// maxHashKeyBytes is the longest key that BLAKE2b accepts.
const maxHashKeyBytes = 64

// NewHasher returns a hasher keyed by a secret that all gateways share and callers do not know, so that
// a caller cannot construct a request whose fingerprint collides with another caller's.
func NewHasher(secret string) *Hasher {
	return &Hasher{key: []byte(secret[:min(len(secret), maxHashKeyBytes)])}
}

// Identity has the fingerprints of a request: of the request of this caller, and of equal requests of any caller.
// They are the same for anonymous callers.
type Identity struct{ OfCaller, OfAnyCaller directory.Fingerprint }

// Identify returns the fingerprints of a request.
func (h *Hasher) Identify(request Request) Identity {
	identity := Identity{OfCaller: h.Fingerprint(request)}
	identity.OfAnyCaller = identity.OfCaller
	if request.Caller != "" {
		request.Caller = ""
		identity.OfAnyCaller = h.Fingerprint(request)
	}
	return identity
}

// Fingerprint returns the fingerprint of a request.
func (h *Hasher) Fingerprint(request Request) directory.Fingerprint {
	const fingerprintBytes = 8
	state, err := blake2b.New(fingerprintBytes, h.key)
	if err != nil {
		// Cannot happen: the size and the key are within the limits of BLAKE2b.
		panic("quarantine: hash a request: " + err.Error())
	}
	for _, part := range [][]byte{request.Method, request.Host, request.URI, []byte(request.Caller), request.Key} {
		writeParts(state, part)
	}
	writeParts(state, request.Body...)
	return directory.Fingerprint(binary.BigEndian.Uint64(state.Sum(nil)))
}

// writeParts writes the parts of one value prefixed with their total length, so that moving bytes from one value to the
// next changes the hash.
func writeParts(state hash.Hash, parts ...[]byte) {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(total))
	_, _ = state.Write(length[:]) // hash.Hash.Write never returns an error
	for _, part := range parts {
		_, _ = state.Write(part)
	}
}

// CallerOf returns a string that identifies a caller by the credential and the cookies that it sent.
func CallerOf(credential, cookies []byte) string {
	caller := ""
	if len(credential) > 0 {
		caller = "credential " + string(credential)
	}
	if len(cookies) > 0 {
		caller += " cookies " + string(cookies)
	}
	return caller
}

// PathOf returns the hash of a request's host and URI.
func PathOf(host, uri []byte) directory.PathHash {
	digest := xxhash.New()
	_, _ = digest.Write(host) // xxhash's Write never returns an error
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(uri)
	return directory.PathHash(digest.Sum64())
}
