package table

// bucketMap is a persistent (copy-on-write) map: an edit copies only the buckets
// that it changes, and earlier versions stay valid.
type bucketMap[K comparable, V any] struct {
	buckets []map[K]V
	hash    func(K) uint64
	length  int
}

func newBucketMap[K comparable, V any](buckets int, hash func(K) uint64) bucketMap[K, V] {
	return bucketMap[K, V]{buckets: make([]map[K]V, buckets), hash: hash}
}

func (m *bucketMap[K, V]) bucketIndex(key K) int {
	return int(m.hash(key) % uint64(len(m.buckets)))
}

func (m *bucketMap[K, V]) get(key K) (V, bool) {
	value, found := m.buckets[m.bucketIndex(key)][key]
	return value, found
}

// each calls visit for every entry, in no fixed order, until visit returns false.
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
	next bucketMap[K, V]
	// copied holds the indexes of the buckets that this edit has copied and may
	// change in place.
	copied map[int]bool
}

func (m *bucketMap[K, V]) edit() *bucketEdit[K, V] {
	next := bucketMap[K, V]{hash: m.hash, length: m.length}
	next.buckets = append(make([]map[K]V, 0, len(m.buckets)), m.buckets...)
	return &bucketEdit[K, V]{next: next, copied: make(map[int]bool)}
}

func (e *bucketEdit[K, V]) get(key K) (V, bool) {
	return e.next.get(key)
}

func (e *bucketEdit[K, V]) put(key K, value V) {
	bucket := e.writableBucket(key)
	if _, found := bucket[key]; !found {
		e.next.length++
	}
	bucket[key] = value
}

func (e *bucketEdit[K, V]) remove(key K) {
	if _, found := e.next.get(key); !found {
		return
	}
	delete(e.writableBucket(key), key)
	e.next.length--
}

// writableBucket returns the key's bucket, which it copies first if another
// version shares it.
func (e *bucketEdit[K, V]) writableBucket(key K) map[K]V {
	index := e.next.bucketIndex(key)
	if e.copied[index] {
		return e.next.buckets[index]
	}
	old := e.next.buckets[index]
	bucket := make(map[K]V, len(old)+1)
	for oldKey, value := range old {
		bucket[oldKey] = value
	}
	e.next.buckets[index] = bucket
	e.copied[index] = true
	return bucket
}
