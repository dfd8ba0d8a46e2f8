package descriptor

const (
	// minReserved and reservedShare are the part of the limit that accepted connections leave to files, listeners and
	// connections to other processes.
	minReserved   = 32
	reservedShare = 1.0 / 12
	// minAcceptedShare is what accepted connections get of a limit that is hardly above minReserved.
	minAcceptedShare = 1.0 / 4
	// minPeers and peersShare are the part of the limit beyond the reserve that clients leave to other processes of the
	// system, if they have it: a large machine serves more of them.
	minPeers   = 350
	peersShare = 0.08
	// minClientsShare is what clients get of a limit that is hardly above minPeers.
	minClientsShare = 1.0 / 2
	// forwardedAccepted and forwardedClients are the parts of the accepted connections that are left to a process which
	// forwards requests, and needs connections to back ends as well.
	forwardedAccepted = 0.7
	forwardedClients  = 0.55
)

// Shares are the bounds of the connections that a process accepts, in descriptors.
type Shares struct {
	// Accepted bounds the connections of clients and of other processes of the system together.
	Accepted int
	// Clients bounds the connections of clients.
	Clients int
}

// Divide returns the shares of a process that may have the given number of descriptors open.
func Divide(limit int) Shares {
	whole := float64(limit)
	accepted := max(whole-max(minReserved, reservedShare*whole), minAcceptedShare*whole)
	clients := max(accepted-max(minPeers, peersShare*whole), minClientsShare*accepted)
	return Shares{Accepted: int(accepted), Clients: int(clients)}
}

// DivideForwarding is Divide for a process that forwards the requests of its clients.
func DivideForwarding(limit int) Shares {
	accepted := float64(Divide(limit).Accepted)
	return Shares{Accepted: int(forwardedAccepted * accepted), Clients: int(forwardedClients * accepted)}
}
