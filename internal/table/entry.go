package table

import "github.com/thorntiller/thorntiller/internal/state"

// Layout of entry.packed, from the highest bits: epoch, owner number, phase.
const (
	phaseBits = 2
	ownerBits = 18
	epochBits = 64 - ownerBits - phaseBits

	maxPhase = 1<<phaseBits - 1
	maxOwner = 1<<ownerBits - 1
	maxEpoch = 1<<epochBits - 1
)

// phases maps the phase numbers in entry.packed to phases.
var phases = [...]state.ShardPhase{state.ShardUnowned, state.ShardOwned, state.ShardRevoking}

// entry is the compact form of one shard: 32 bytes without a pointer, so that the
// garbage collector does not scan it. The end of the range is not stored here,
// because nearly every range ends where the next one begins; see chunk.ends.
type entry struct {
	first  uint64
	digest uint64
	shard  state.ShardID
	packed uint64
}

func pack(epoch state.Epoch, owner uint64, phase state.ShardPhase) uint64 {
	packed := uint64(epoch)<<(ownerBits+phaseBits) | owner<<phaseBits
	for number, known := range phases {
		if known == phase {
			packed |= uint64(number)
		}
	}
	return packed
}

func (e *entry) epoch() state.Epoch {
	return state.Epoch(e.packed >> (ownerBits + phaseBits))
}

func (e *entry) owner() uint64 {
	return e.packed >> phaseBits & maxOwner
}

func (e *entry) phase() state.ShardPhase {
	return phases[e.packed&maxPhase]
}
