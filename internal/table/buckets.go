package table

// bucketMap is a persistent map: an edit copies only the buckets it touches,
// and earlier versions stay as they were.
type bucketMap[K comparable, V any] struct {
	buckets []map[K]V
	hash    func(K) uint64
	length  int
}

func newBucketMap[K comparable, V any](buckets int, hash func(K) uint64) bucketMap[K, V] {
	return bucketMap[K, V]{buckets: make([]map[K]V, buckets), hash: hash}
}

func (m *bucketMap[K, V]) bucket(key K) int {
	return int(m.hash(key) % uint64(len(m.buckets)))
}

func (m *bucketMap[K, V]) get(key K) (V, bool) {
	value, found := m.buckets[m.bucket(key)][key]
	return value, found
}

// each calls visit for every entry, in no fixed order, until it returns false.
func (m *bucketMap[K, V]) each(visit func(K, V) bool) {
	for _, bucket := range m.buckets {
		for key, value := range bucket {
			if !visit(key, value) {
				return
			}
		}
	}
}

// bucketEdit collects changes that become the next version of a bucketMap.
type bucketEdit[K comparable, V any] struct {
	next  bucketMap[K, V]
	owned map[int]bool
}

func (m *bucketMap[K, V]) edit() *bucketEdit[K, V] {
	next := bucketMap[K, V]{hash: m.hash, length: m.length}
	next.buckets = append(make([]map[K]V, 0, len(m.buckets)), m.buckets...)
	return &bucketEdit[K, V]{next: next, owned: make(map[int]bool)}
}

func (e *bucketEdit[K, V]) get(key K) (V, bool) {
	return e.next.get(key)
}

func (e *bucketEdit[K, V]) put(key K, value V) {
	bucket := e.own(key)
	if _, found := bucket[key]; !found {
		e.next.length++
	}
	bucket[key] = value
}

func (e *bucketEdit[K, V]) remove(key K) {
	if _, found := e.next.get(key); !found {
		return
	}
	delete(e.own(key), key)
	e.next.length--
}

// own returns the key's bucket after making sure that no other version has it.
func (e *bucketEdit[K, V]) own(key K) map[K]V {
	index := e.next.bucket(key)
	if e.owned[index] {
		return e.next.buckets[index]
	}
	old := e.next.buckets[index]
	bucket := make(map[K]V, len(old)+1)
	for oldKey, value := range old {
		bucket[oldKey] = value
	}
	e.next.buckets[index] = bucket
	e.owned[index] = true
	return bucket
}
