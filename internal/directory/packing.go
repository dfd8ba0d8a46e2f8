package directory

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// errPacked is the error of packed bytes that cannot be read: what they are added to is
// another state than they were made for.
var errPacked = eris.New("packed changes of the directory cannot be read: fetch the whole directory")

// packer writes numbers and instances.
type packer struct {
	bytes []byte
	known *references
}

func (p *packer) number(value uint64) { p.bytes = binary.AppendUvarint(p.bytes, value) }

// instance writes the reference of an instance; where that does not stand for it alone, zero
// and the identifier.
func (p *packer) instance(id InstanceID) {
	reference := ReferenceOf(id)
	if p.known.clear(reference) {
		p.bytes = binary.BigEndian.AppendUint32(p.bytes, uint32(reference))
		return
	}
	p.bytes = binary.BigEndian.AppendUint32(p.bytes, 0)
	p.number(uint64(len(id)))
	p.bytes = append(p.bytes, id...)
}

// unpacker reads what a packer wrote. After the first failure it reads zeros.
type unpacker struct {
	bytes  []byte
	known  *references
	failed bool
}

func (u *unpacker) more() bool { return len(u.bytes) > 0 && !u.failed }

func (u *unpacker) take(count uint64) []byte {
	if u.failed || count > uint64(len(u.bytes)) {
		u.failed = true
		return nil
	}
	taken := u.bytes[:count]
	u.bytes = u.bytes[count:]
	return taken
}

// number reads a number up to a bound.
func (u *unpacker) number(bound uint64) uint64 {
	value, length := binary.Uvarint(u.bytes)
	if u.failed || length <= 0 || value > bound {
		u.failed = true
		return 0
	}
	u.bytes = u.bytes[length:]
	return value
}

func (u *unpacker) instance() InstanceID {
	const referenceBytes = 4
	packed := u.take(referenceBytes)
	if packed == nil {
		return ""
	}
	reference := Reference(binary.BigEndian.Uint32(packed))
	if reference == 0 {
		return InstanceID(u.take(u.number(uint64(len(u.bytes)))))
	}
	id, found := u.known.find(reference)
	u.failed = u.failed || !found
	return id
}

// packHolders returns ranges of keys with the instances that requests for them go to, or
// none, in the order of their keys: the owners, each once, then for each range the keys
// skipped before it, its width, and the position of its owner.
func packHolders(holdings []Holding, known *references) []byte {
	packed := &packer{known: known}
	positions := make(map[InstanceID]uint64)
	var owners []InstanceID
	for _, holding := range holdings {
		if _, met := positions[holding.Owner]; holding.routable() && !met {
			owners = append(owners, holding.Owner)
			positions[holding.Owner] = uint64(len(owners))
		}
	}
	packed.number(uint64(len(owners)))
	for _, owner := range owners {
		packed.instance(owner)
	}
	next := Key(0)
	for _, holding := range holdings {
		packed.number(uint64(holding.First - next))
		packed.number(uint64(holding.Last - holding.First))
		next = holding.Last + 1
		if holding.routable() {
			packed.number(positions[holding.Owner])
		} else {
			packed.number(0)
		}
	}
	return packed.bytes
}

// unpackHolders returns the holdings that packHolders wrote, with what gateways route by.
func unpackHolders(bytes []byte, known *references, revision Revision) ([]Holding, error) {
	packed := &unpacker{bytes: bytes, known: known}
	owners := []InstanceID{""}
	for range packed.number(uint64(MaxKey)) {
		owners = append(owners, packed.instance())
		if packed.failed {
			return nil, errPacked
		}
	}
	var holdings []Holding
	for next := Key(0); packed.more(); {
		first := next + Key(packed.number(uint64(MaxKey)))
		last := first + Key(packed.number(uint64(MaxKey)))
		owner := owners[packed.number(uint64(len(owners)-1))]
		if packed.failed || last > MaxKey {
			return nil, errPacked
		}
		next = last + 1
		holdings = append(holdings, Holding{First: first, Last: last, Owner: owner, Granted: owner != "", Revision: revision, Routed: revision})
	}
	if packed.failed {
		return nil, errPacked
	}
	return holdings, nil
}

// packTimes returns instances with their service times in milliseconds.
func packTimes(times []InstanceTime, known *references) []byte {
	packed := &packer{known: known}
	for _, each := range times {
		packed.instance(each.ID)
		packed.number(uint64(each.ServiceTime.Milliseconds()))
	}
	return packed.bytes
}

func unpackTimes(bytes []byte, known *references) ([]InstanceTime, error) {
	packed := &unpacker{bytes: bytes, known: known}
	var times []InstanceTime
	for packed.more() {
		id := packed.instance()
		times = append(times, InstanceTime{ID: id, ServiceTime: time.Duration(packed.number(math.MaxUint32)) * time.Millisecond})
	}
	if packed.failed {
		return nil, errPacked
	}
	return times, nil
}
