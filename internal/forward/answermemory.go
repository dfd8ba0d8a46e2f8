package forward

import (
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// freeAnswerBytes is the size up to which an answer takes nothing from the shared memory, so that ordinary answers
// pass while it is used up.
const freeAnswerBytes = 64 << 10

// AnswerMemory bounds the memory that all large answers take together while they are received. It is safe for
// concurrent use. A nil AnswerMemory has no bound.
type AnswerMemory struct {
	limit int64
	used  atomic.Int64
}

// NewAnswerMemory returns a bound in bytes.
func NewAnswerMemory(limit int) *AnswerMemory { return &AnswerMemory{limit: int64(limit)} }

// Used returns the number of bytes that are reserved.
func (m *AnswerMemory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// reserve takes a number of bytes, or nothing if there are fewer left.
func (m *AnswerMemory) reserve(bytes int64) bool {
	if m == nil {
		return true
	}
	for {
		used := m.used.Load()
		if used+bytes > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

func (m *AnswerMemory) release(bytes int64) {
	if m != nil {
		m.used.Add(-bytes)
	}
}

// errAnswerMemory ends an answer that does not fit beside the others.
var errAnswerMemory = eris.New("the answer needs more memory than is left for answers")

// errNoMemory ends an answer for which this process has no memory left beside what its clients hold.
var errNoMemory = eris.New("this process has no memory left for the answer")

// reserveFor reserves memory for an answer that takes the given number of bytes in all.
func (c *countingConnection) reserveFor(bytes int64) error {
	needed := bytes - freeAnswerBytes - c.reserved
	if needed <= 0 {
		return nil
	}
	if !c.memory.reserve(needed) {
		return errAnswerMemory
	}
	if c.reserve != nil && !c.reserve(needed) {
		c.memory.release(needed)
		return errNoMemory
	}
	c.reserved += needed
	return nil
}

// releaseMemory releases what the current attempt has reserved.
func (c *countingConnection) releaseMemory() {
	c.memory.release(c.reserved)
	c.reserved = 0
}
