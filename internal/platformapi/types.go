package platformapi

// PathMachines answers MachineList by GET and takes Machine by POST, which
// adds the machine or updates the one with the same ID.
const PathMachines = "/machines"

// MachineState is the state of a machine as reported by the platform.
type MachineState string

// States of a machine.
const (
	// MachineLive: the machine is running and is to stay.
	MachineLive MachineState = "live"
	// MachineLeaving: the machine is still running but is to be removed.
	MachineLeaving MachineState = "leaving"
	// MachineGone: the platform has removed the machine.
	MachineGone MachineState = "gone"
)

// Machine is one entry of the list.
type Machine struct {
	ID string `json:"id"`
	// Address is the address of the machine's server, IP:port.
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	State   MachineState `json:"state"`
}

// MachineList is the body of the answer to GET PathMachines: a JSON array, sorted
// by ID, with at most MaxMachines entries.
type MachineList []Machine

// MaxMachines is the maximum length of MachineList.
const MaxMachines = 100_000
