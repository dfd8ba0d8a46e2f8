package directory

import "fmt"

// Fingerprint stands for a request: a hash, under a key that callers do not know, of all that makes
// two requests the same. Neither path nor body can be found from it.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// PathHash is a hash of the host and path of a request, by which the few requests are found whose
// fingerprints are worth computing.
type PathHash uint64
