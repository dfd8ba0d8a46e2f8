package main

import (
	"slices"
	"time"
)

// row is a range of keys, both ends included, with its fence.
type row [3]int64

func (r row) contains(key int64) bool { return r[0] <= key && key <= r[1] }

func holds(rows []row, key int64) bool {
	return slices.ContainsFunc(rows, func(r row) bool { return r.contains(key) })
}

// withoutRows returns the parts of rows that no row of others covers.
func withoutRows(rows, others []row) []row {
	remaining := slices.Clone(rows)
	for _, other := range others {
		var next []row
		for _, r := range remaining {
			if other[1] < r[0] || r[1] < other[0] {
				next = append(next, r)
				continue
			}
			if r[0] < other[0] {
				next = append(next, row{r[0], other[0] - 1, r[2]})
			}
			if other[1] < r[1] {
				next = append(next, row{other[1] + 1, r[1], r[2]})
			}
		}
		remaining = next
	}
	return remaining
}

// keyStore is what a server knows of its keys. It is not safe for concurrent use.
type keyStore struct {
	held     []row
	leaseEnd time.Time
	// lingering are rows that were let go while requests for them are at work.
	lingering []row
	// released are rows that were let go since the last acknowledged heartbeat.
	released []row
	// working counts the requests at work by key.
	working map[int64]int
	// fences has the highest fence seen for each key.
	fences []int64
}

func newKeyStore() keyStore {
	return keyStore{working: make(map[int64]int), fences: make([]int64, keyCount)}
}

func (k *keyStore) expired() bool { return time.Now().After(k.leaseEnd) }

// mayServe reports whether the server holds a key now.
func (k *keyStore) mayServe(key int64) bool { return !k.expired() && holds(k.held, key) }

func (k *keyStore) begin(key int64) { k.working[key]++ }

func (k *keyStore) finish(key int64) {
	k.working[key]--
	if k.working[key] == 0 {
		delete(k.working, key)
	}
}

// report returns the rows that the server holds or still works on, and those that it has let go.
func (k *keyStore) report() (held, released []row) {
	if k.expired() {
		k.held = nil
	}
	var lingering []row
	for _, r := range k.lingering {
		if k.isWorkingOn(r) {
			lingering = append(lingering, r)
		} else {
			k.released = append(k.released, r)
		}
	}
	k.lingering = lingering
	return append(slices.Clone(k.held), lingering...), k.released
}

func (k *keyStore) isWorkingOn(r row) bool {
	for key := range k.working {
		if r.contains(key) {
			return true
		}
	}
	return false
}

// grant replaces what the server holds. Rows below a fence that it has seen are not taken.
func (k *keyStore) grant(rows []row, leaseEnd time.Time) {
	k.released = nil
	var taken []row
	for _, r := range rows {
		if slices.Max(k.fences[r[0]:r[1]+1]) > r[2] {
			continue
		}
		for key := r[0]; key <= r[1]; key++ {
			k.fences[key] = r[2]
		}
		taken = append(taken, r)
	}
	k.lingering = append(k.lingering, withoutRows(k.held, taken)...)
	k.held, k.leaseEnd = taken, leaseEnd
}

// letsGo reports whether rows are still to be reported as let go.
func (k *keyStore) letsGo() bool { return len(k.lingering)+len(k.released) > 0 }

// count returns how many keys the server holds.
func (k *keyStore) count() int64 {
	total := int64(0)
	for _, r := range k.held {
		total += r[1] - r[0] + 1
	}
	return total
}
