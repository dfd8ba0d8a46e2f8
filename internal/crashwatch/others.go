package crashwatch

import "math/rand/v2"

// maxOthers is the number of other instances that are probed.
const maxOthers = 3

// Others is a random sample of a few addresses of instances. The zero value is empty.
type Others struct {
	addresses []string
	seen      int
}

// Add adds an address to those that may be in the sample.
func (o *Others) Add(address string) {
	o.seen++
	if len(o.addresses) < maxOthers {
		o.addresses = append(o.addresses, address)
		return
	}
	// Reservoir sampling: each address is equally likely.
	if position := rand.IntN(o.seen); position < maxOthers {
		o.addresses[position] = address
	}
}

// Addresses returns the sample.
func (o *Others) Addresses() []string { return o.addresses }
