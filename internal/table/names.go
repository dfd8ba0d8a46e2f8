package table

// nameIndex assigns numbers to owner names so that half a million shards need not
// each hold a string. Numbers are never reused; 0 is the empty name. Only the
// goroutine that applies changes uses it; each Table holds the slice of names
// that existed when the table was built, and reads it without a lock.
type nameIndex struct {
	names   []string
	numbers map[string]uint64
}

func newNameIndex() *nameIndex {
	return &nameIndex{names: []string{""}, numbers: map[string]uint64{"": 0}}
}

// number returns the number of a name, and false when no number is left.
func (n *nameIndex) number(name string) (uint64, bool) {
	if number, found := n.numbers[name]; found {
		return number, true
	}
	number := uint64(len(n.names))
	if number > maxOwner {
		return 0, false
	}
	n.names = append(n.names, name)
	n.numbers[name] = number
	return number, true
}

// halfUsed reports whether the next snapshot should start with a new index, so
// that names of servers removed long ago do not fill it.
func (n *nameIndex) halfUsed() bool {
	return len(n.names) > maxOwner/2
}
