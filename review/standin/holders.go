package main

import (
	"sync"
	"time"
)

// holdingSince is what a server holds from one answer to its heartbeats on, until the next one or the end of
// its lease, by its own clock.
type holdingSince struct {
	at, leaseEnd time.Time
	rows         []row
}

// holdings is what one server held over time.
type holdings struct {
	mutex   sync.Mutex
	changes []holdingSince
	// endedAt is when the server ended; zero while it is up.
	endedAt time.Time
}

func (h *holdings) add(change holdingSince) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = append(h.changes, change)
}

func (h *holdings) end() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.endedAt.IsZero() {
		h.endedAt = time.Now()
	}
}

// at returns the rows that the server held at a time.
func (h *holdings) at(moment time.Time) []row {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.endedAt.IsZero() && moment.After(h.endedAt) {
		return nil
	}
	for index := len(h.changes) - 1; index >= 0; index-- {
		change := h.changes[index]
		if change.at.After(moment) {
			continue
		}
		if moment.After(change.leaseEnd) {
			return nil
		}
		return change.rows
	}
	return nil
}

const (
	// sampleStep and sampleKeys are the steps at which the holders of keys are compared.
	sampleStep = 10 * time.Millisecond
	sampleKeys = 64
	// allowedOverlap is how long two servers may hold the same key, by the rule OWNER.
	allowedOverlap = 500 * time.Millisecond
)

// checkOwners checks that no two servers hold a key for longer than the rule OWNER allows.
func checkOwners(record *recorder, servers []*server, from, to time.Time) (broken bool) {
	overlap := make(map[int64]time.Duration)
	longest, longestKey, keys := time.Duration(0), int64(0), 0
	counted := make(map[int64]bool)
	pair := ""
	for moment := from; moment.Before(to); moment = moment.Add(sampleStep) {
		holders := make(map[int64][]string)
		for _, s := range servers {
			for _, held := range s.history.at(moment) {
				for key := (held[0] + sampleKeys - 1) / sampleKeys * sampleKeys; key <= held[1]; key += sampleKeys {
					holders[key] = append(holders[key], s.id)
				}
			}
		}
		for key := int64(0); key < keyCount; key += sampleKeys {
			if len(holders[key]) < 2 {
				overlap[key] = 0
				continue
			}
			overlap[key] += sampleStep
			if overlap[key] > allowedOverlap && !counted[key] {
				counted[key] = true
				keys++
				record.report(keys, "OWNER: at %.1f ms key %d has been held by %v for more than %s",
					float64(moment.Sub(record.began).Microseconds())/1000, key, holders[key], allowedOverlap)
			}
			if overlap[key] > longest {
				longest, longestKey = overlap[key], key
				pair = holders[key][0] + " and " + holders[key][1]
			}
		}
	}
	record.say("longest time that two servers held one key: %s (key %d, %s); keys held by two for more than %s: %d of %d sampled",
		longest, longestKey, pair, allowedOverlap, keys, keyCount/sampleKeys)
	return keys > 0
}
