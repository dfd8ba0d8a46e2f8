package platformapi

// PathMachines answers MachineList by GET and takes Machine by POST, which
// adds the machine or changes the one of the same ID.
const PathMachines = "/machines"

// MachineState is what the platform says of a machine.
type MachineState string

// States of a machine.
const (
	// MachineLive: the machine runs and stays.
	MachineLive MachineState = "live"
	// MachineLeaving: the machine still runs but is to be taken away.
	MachineLeaving MachineState = "leaving"
	// MachineGone: the platform took the machine away.
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

// MachineList is the body that GET PathMachines answers: a JSON array, ordered
// by ID, of at most MaxMachines entries.
type MachineList []Machine

// MaxMachines bounds the list.
const MaxMachines = 100_000
