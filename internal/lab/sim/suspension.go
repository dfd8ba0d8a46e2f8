package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// suspensionPace is the mean time between two suspensions.
	suspensionPace = 600 * time.Millisecond
	// mostSendsBeforeSuspension bounds the messages of a step that go out before a
	// suspension in its middle.
	mostSendsBeforeSuspension = 12
	// suspensionStream is the random stream of suspensions, which leaves the draws of
	// the other faults as they are.
	suspensionStream = 1
)

// machineRole is what runs on a machine.
type machineRole int

const (
	controllerMachine machineRole = iota
	serverMachine
	routerMachine
	instanceMachine
	// operatorMachine is never suspended.
	operatorMachine
)

// sleeper suspends machines.
type sleeper struct {
	sim    *simulation
	random *rand.Rand
	end    time.Duration
}

// suspendMachines suspends one machine after the other, and several at a time, until a time.
func (s *simulation) suspendMachines(end time.Duration) {
	random := rand.New(rand.NewPCG(s.seed, suspensionStream)) //nolint:gosec // a run must replay from its seed
	sleeps := &sleeper{sim: s, random: random, end: end}
	sleeps.arm()
}

func (z *sleeper) arm() {
	wait := time.Duration(z.random.Int64N(int64(2 * suspensionPace)))
	z.sim.queue.After(wait, func() {
		if z.sim.queue.Now() >= z.end {
			return
		}
		z.suspendOne()
		z.arm()
	})
}

// suspendOne suspends a machine of a role that is drawn first, so that each role is met
// however many machines it has.
func (z *sleeper) suspendOne() {
	roles := z.roles()
	role := roles[z.random.IntN(len(roles))]
	chosen := role[z.random.IntN(len(role))]
	duration := z.duration()
	if z.random.IntN(2) == 0 {
		chosen.suspend(duration)
		return
	}
	chosen.pauseAfterSends = 1 + z.random.IntN(mostSendsBeforeSuspension)
	chosen.pauseFor, chosen.sleepInStep = duration, true
}

// duration draws short suspensions as often as long ones.
func (z *sleeper) duration() time.Duration {
	least, most := shortestPause, 300*time.Millisecond
	if z.random.IntN(2) == 0 {
		least, most = most, longestPause
	}
	return least + time.Duration(z.random.Int64N(int64(most-least)))
}

// roles returns the machines of each role.
func (z *sleeper) roles() [][]*process {
	var roles [][]*process
	for role := controllerMachine; role <= instanceMachine; role++ {
		if machines := z.sim.machines(role); len(machines) > 0 {
			roles = append(roles, machines)
		}
	}
	return roles
}

// machines returns the machines of a role.
func (s *simulation) machines(role machineRole) []*process {
	var found []*process
	switch role {
	case controllerMachine:
		for _, each := range s.controllers {
			found = append(found, each.process)
		}
	case serverMachine:
		for _, each := range s.servers {
			found = append(found, each.process)
		}
	case routerMachine:
		for _, each := range s.routers {
			found = append(found, each.process)
		}
	case instanceMachine:
		if s.leaseWorld == nil {
			return nil
		}
		for _, each := range s.leaseWorld.instances {
			found = append(found, each.process)
		}
	default:
	}
	return found
}

// stepsClockBack reports whether the clock of a machine leaves suspensions out: the
// planted fault of processes that read a clock which stands still meanwhile.
func (s *simulation) stepsClockBack(of *process) bool {
	return slices.Contains(s.planted.steadyClocks, of.role)
}
