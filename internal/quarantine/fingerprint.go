package quarantine

import (
	"encoding/binary"
	"hash"
	"net"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/crypto/blake2b"

	"github.com/thorntiller/thorntiller/internal/directory"
)

// Request is what makes two requests the same. A request that is sent again has another identifier
// and deadline, which do not count.
type Request struct {
	Method, Host, URI []byte
	// Caller tells callers apart: the credential that the caller shows, or its IP address.
	Caller string
	// Key is the header with the request's key; empty for none.
	Key  []byte
	Body []byte
}

// Hasher computes fingerprints under one key. It may be used by several goroutines.
type Hasher struct{ key []byte }

// maxHashKey is the longest key of the hash, in bytes.
const maxHashKey = 64

// NewHasher returns a hasher whose key all gateways share and callers do not know, so that nobody
// can make a request that has the fingerprint of somebody else's.
func NewHasher(secret string) *Hasher {
	return &Hasher{key: []byte(secret[:min(len(secret), maxHashKey)])}
}

// Fingerprint returns that of a request.
func (h *Hasher) Fingerprint(request Request) directory.Fingerprint {
	const fingerprintBytes = 8
	state, err := blake2b.New(fingerprintBytes, h.key)
	if err != nil {
		// Size and key are within the bounds of the hash.
		panic("quarantine: hash a request: " + err.Error())
	}
	for _, part := range [][]byte{request.Method, request.Host, request.URI, []byte(request.Caller), request.Key, request.Body} {
		writePart(state, part)
	}
	return directory.Fingerprint(binary.BigEndian.Uint64(state.Sum(nil)))
}

// writePart adds a part with its length, so that bytes cannot pass from one part to the next.
func writePart(state hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = state.Write(length[:]) // a hash takes all that is written
	_, _ = state.Write(part)
}

// CallerOf tells a caller from others by the credential that it shows, or by its IP address.
func CallerOf(credential []byte, remote net.Addr) string {
	if len(credential) > 0 {
		return "credential " + string(credential)
	}
	if address, ok := remote.(*net.TCPAddr); ok {
		return "address " + address.IP.String()
	}
	return ""
}

// PathOf returns the hash of a request's host and path.
func PathOf(host, uri []byte) directory.PathHash {
	digest := xxhash.New()
	_, _ = digest.Write(host) // a hash takes all that is written
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(uri)
	return directory.PathHash(digest.Sum64())
}
