package table

// nameIndex numbers owners so that half a million shards need not each hold a
// string. Numbers are never reused; number 0 is the empty name. Only the
// goroutine that applies changes uses it; each Table holds the names that
// existed when it was made, and reads them without a lock.
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

// halfUsed reports whether a new table should begin with an index of its own,
// so that names of servers that are long gone do not fill it.
func (n *nameIndex) halfUsed() bool {
	return len(n.names) > maxOwner/2
}
