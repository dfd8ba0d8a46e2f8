package record

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// ClockSkew is the maximum difference between any two wall clocks of callers,
// routers and controllers. A key's timestamp may be that far in the future.
const ClockSkew = 5 * time.Second

// keyVersion is the UUID version whose first 48 bits are a Unix timestamp in milliseconds.
const keyVersion = 7

// Key is an Idempotency-Key: a UUID of version 7.
type Key [16]byte

// ParseKey parses the value of the Idempotency-Key header. Its errors are of kind
// invalid_request.
func ParseKey(text string) (Key, error) {
	parsed, err := uuid.Parse(text)
	if err != nil {
		return Key{}, fault.Newf(fault.InvalidRequest,
			"header Idempotency-Key is %.64q, which is no UUID; draw a UUID of version 7 for each request", text)
	}
	if parsed.Version() != keyVersion || parsed.Variant() != uuid.RFC4122 {
		return Key{}, fault.Newf(fault.InvalidRequest,
			"header Idempotency-Key is %.64q, a UUID of version %d; draw a UUID of version 7 for each request",
			text, parsed.Version())
	}
	return Key(parsed), nil
}

// UnixMs returns the time at which the key was generated, in Unix milliseconds by
// the caller's clock.
func (k Key) UnixMs() int64 {
	const timeBytes = 6
	var milliseconds int64
	for _, octet := range k[:timeBytes] {
		milliseconds = milliseconds<<8 | int64(octet)
	}
	return milliseconds
}

// Partition returns the number of the key's partition, out of count partitions.
func (k Key) Partition(count int) int {
	return int(xxhash.Sum64(k[:]) % uint64(count))
}

// String returns the key as a UUID.
func (k Key) String() string {
	return uuid.UUID(k).String()
}
