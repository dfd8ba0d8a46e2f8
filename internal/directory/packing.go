package directory

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/rotisserie/eris"
)

// errUnreadablePacking reports packed bytes that cannot be decoded: the directory that they are
// merged into is in another state than the one they were made for.
var errUnreadablePacking = eris.New("packed changes of the directory cannot be read: fetch the whole directory")

// packer encodes numbers and instances.
type packer struct {
	bytes      []byte
	references *referenceIndex
}

func (p *packer) writeUvarint(value uint64) { p.bytes = binary.AppendUvarint(p.bytes, value) }

// writeInstance writes the reference of an instance or, if the reference is not unique, zero and
// the identifier.
func (p *packer) writeInstance(id InstanceID) {
	reference := ReferenceOf(id)
	if p.references.unique(reference) {
		p.bytes = binary.BigEndian.AppendUint32(p.bytes, uint32(reference))
		return
	}
	p.bytes = binary.BigEndian.AppendUint32(p.bytes, 0)
	p.writeUvarint(uint64(len(id)))
	p.bytes = append(p.bytes, id...)
}

// unpacker decodes what a packer wrote. After the first failure it returns zeros.
type unpacker struct {
	bytes      []byte
	references *referenceIndex
	failed     bool
}

func (u *unpacker) hasMore() bool { return len(u.bytes) > 0 && !u.failed }

func (u *unpacker) readBytes(count uint64) []byte {
	if u.failed || count > uint64(len(u.bytes)) {
		u.failed = true
		return nil
	}
	content := u.bytes[:count]
	u.bytes = u.bytes[count:]
	return content
}

// readUvarint reads a number; one above the bound is a failure.
func (u *unpacker) readUvarint(bound uint64) uint64 {
	value, length := binary.Uvarint(u.bytes)
	if u.failed || length <= 0 || value > bound {
		u.failed = true
		return 0
	}
	u.bytes = u.bytes[length:]
	return value
}

func (u *unpacker) readInstance() InstanceID {
	const referenceBytes = 4
	packed := u.readBytes(referenceBytes)
	if packed == nil {
		return ""
	}
	reference := Reference(binary.BigEndian.Uint32(packed))
	if reference == 0 {
		return InstanceID(u.readBytes(u.readUvarint(uint64(len(u.bytes)))))
	}
	id, found := u.references.lookup(reference)
	u.failed = u.failed || !found
	return id
}

// packHolders encodes ranges of keys, sorted by key, with the instances that get the requests for
// them. It writes the owners, each once, then for each range the number of keys skipped before it,
// its width minus one, and the position of its owner, counted from 1; zero for none.
func packHolders(holdings []Holding, known *referenceIndex) []byte {
	writer := &packer{references: known}
	positions := make(map[InstanceID]uint64)
	var owners []InstanceID
	for _, holding := range holdings {
		if _, seen := positions[holding.Owner]; holding.routable() && !seen {
			owners = append(owners, holding.Owner)
			positions[holding.Owner] = uint64(len(owners))
		}
	}
	writer.writeUvarint(uint64(len(owners)))
	for _, owner := range owners {
		writer.writeInstance(owner)
	}
	next := Key(0)
	for _, holding := range holdings {
		writer.writeUvarint(uint64(holding.First - next))
		writer.writeUvarint(uint64(holding.Last - holding.First))
		next = holding.Last + 1
		if holding.routable() {
			writer.writeUvarint(positions[holding.Owner])
		} else {
			writer.writeUvarint(0)
		}
	}
	return writer.bytes
}

// unpackHolders decodes what packHolders wrote. The holdings have only the fields that gateways
// need for routing.
func unpackHolders(bytes []byte, known *referenceIndex, revision Revision) ([]Holding, error) {
	reader := &unpacker{bytes: bytes, references: known}
	owners := []InstanceID{""}
	for range reader.readUvarint(uint64(MaxKey)) {
		owners = append(owners, reader.readInstance())
		if reader.failed {
			return nil, errUnreadablePacking
		}
	}
	var holdings []Holding
	for next := Key(0); reader.hasMore(); {
		first := next + Key(reader.readUvarint(uint64(MaxKey)))
		last := first + Key(reader.readUvarint(uint64(MaxKey)))
		owner := owners[reader.readUvarint(uint64(len(owners)-1))]
		if reader.failed || last > MaxKey {
			return nil, errUnreadablePacking
		}
		next = last + 1
		holdings = append(holdings, Holding{First: first, Last: last, Owner: owner, Granted: owner != "", Revision: revision, Routed: revision})
	}
	if reader.failed {
		return nil, errUnreadablePacking
	}
	return holdings, nil
}

// packTimes encodes instances with their service times in milliseconds.
func packTimes(times []InstanceTime, known *referenceIndex) []byte {
	writer := &packer{references: known}
	for _, measured := range times {
		writer.writeInstance(measured.ID)
		writer.writeUvarint(uint64(measured.ServiceTime.Milliseconds()))
	}
	return writer.bytes
}

func unpackTimes(bytes []byte, known *referenceIndex) ([]InstanceTime, error) {
	reader := &unpacker{bytes: bytes, references: known}
	var times []InstanceTime
	for reader.hasMore() {
		id := reader.readInstance()
		times = append(times, InstanceTime{ID: id, ServiceTime: time.Duration(reader.readUvarint(math.MaxUint32)) * time.Millisecond})
	}
	if reader.failed {
		return nil, errUnreadablePacking
	}
	return times, nil
}
