package sim

import (
	"path"
	"time"

	"github.com/thorntiller/thorntiller/internal/consensus"
	"github.com/thorntiller/thorntiller/internal/membership"
)

// Faults of disks.
const (
	repairLook = 15 * time.Millisecond
	// secondLoss is the chance, at each look after a repair, of another loss.
	secondLoss = 0.3
	maxCrashOp = 12
)

// crashInWrite lets the power fail at one of the next operations on the disk.
func (s *simulation) crashInWrite() {
	target := s.likelyLeader()
	if target.alive {
		s.counts.TornWrites++
		target.disk.CrashAfter(1 + s.random.IntN(maxCrashOp))
	}
}

// flipBit damages a file of a controller and crashes it. The machine may have
// to be replaced, so it counts as a lost disk.
func (s *simulation) flipBit() {
	target := s.anyController()
	if !target.alive || !s.mayLose(target) {
		return
	}
	file, found := s.anyFile(target)
	if !found {
		return
	}
	target.crash()
	bit, err := target.disk.FlipRandomBit(file, newDiskRandom(s.random))
	if err != nil {
		return
	}
	s.counts.FlippedBits++
	s.damaged[target.name()] = true
	s.trace("%s has bit %d of %s flipped", target.node, bit, file)
}

func (s *simulation) anyFile(of *controller) (string, bool) {
	var files []string
	for _, folder := range []string{dataFolder, path.Join(dataFolder, "wal"), path.Join(dataFolder, "snapshots")} {
		// A folder that is not there yet holds no file.
		names, _ := of.disk.ReadDir(folder)
		for _, name := range names {
			files = append(files, path.Join(folder, name))
		}
	}
	if len(files) == 0 {
		return "", false
	}
	return files[s.random.IntN(len(files))], true
}

func (s *simulation) loseAnyDisk() { s.loseDiskOf(s.likelyLeader()) }

func (s *simulation) loseDiskOf(target *controller) {
	if target.self.Replica != 0 && s.mayLose(target) {
		s.counts.LostDisks++
		target.loseDisk()
	}
}

// mayLose reports whether the loss of a machine's disk is one that the system
// claims to tolerate: the newest membership that is known to be committed keeps a
// quorum of voters with their disks. What a replica believes that lags behind
// does not count.
func (s *simulation) mayLose(target *controller) bool {
	members := s.committedMembership()
	return s.isIntactVoter(members, target.self.Replica) && s.keepsQuorum(members, target.self.Replica)
}

// committedMembership is the newest membership that a replica has applied, in
// practice the leader's.
func (s *simulation) committedMembership() consensus.Membership {
	newest := s.controllers[0].known
	for _, each := range s.controllers {
		if each.known.index > newest.index {
			newest = each.known
		}
	}
	return newest.members
}

func (s *simulation) isIntactVoter(members consensus.Membership, id consensus.ReplicaID) bool {
	host, found := s.hosts[id]
	if !found || s.lost[id] || s.damaged[host.name()] {
		return false
	}
	return membership.IsVoter(members, id)
}

func (s *simulation) keepsQuorum(members consensus.Membership, except consensus.ReplicaID) bool {
	voters, intact := 0, 0
	for _, member := range members.Members {
		if member.Learner {
			continue
		}
		voters++
		host := s.hosts[member.ID]
		if member.ID != except && !s.lost[member.ID] && !s.damaged[host.name()] {
			intact++
		}
	}
	return voters == 0 || intact > voters/2
}

// watchRepairs loses another machine right after a lost one was replaced.
func (s *simulation) watchRepairs(end time.Duration) {
	losses := s.counts.LostDisks
	var look func()
	look = func() {
		if s.queue.Now() >= end {
			return
		}
		target := s.anyController()
		if s.counts.LostDisks > losses && s.mayLose(target) {
			losses = s.counts.LostDisks
			if s.chance(secondLoss) {
				s.counts.LossesAfterRepair++
				s.loseDiskOf(target)
			}
		}
		s.queue.After(repairLook, look)
	}
	s.queue.After(repairLook, look)
}
