package table

import "sync"

// nameIndex numbers names so that half a million shards need not each hold a
// string. Numbers are never reused; index 0 is the empty name. Only servers
// that ever owned a shard and services are in it, so it stays small.
type nameIndex struct {
	mutex   sync.RWMutex
	names   []string
	numbers map[string]uint32
}

func newNameIndex() *nameIndex {
	return &nameIndex{names: []string{""}, numbers: map[string]uint32{"": 0}}
}

func (n *nameIndex) number(name string) uint32 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if number, found := n.numbers[name]; found {
		return number
	}
	number := uint32(len(n.names))
	n.names = append(n.names, name)
	n.numbers[name] = number
	return number
}

func (n *nameIndex) name(number uint32) string {
	n.mutex.RLock()
	defer n.mutex.RUnlock()
	return n.names[number]
}
