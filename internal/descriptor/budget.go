package descriptor

// Budget bounds the connections that a process accepts. The limit of the process is read at each accept, since it can
// be changed from outside.
type Budget struct {
	// Bound is the highest limit that is used; zero for that of the process.
	Bound int
	// Divide returns the shares of a limit: Divide or DivideForwarding.
	Divide func(limit int) Shares
	// Clients and Peers return how many connections of clients and of other processes of the system are open.
	Clients, Peers func() int
}

// ClientPlaces returns how many connections of clients may be open beside those that other processes have.
func (b Budget) ClientPlaces() int {
	shares := b.Divide(Limit(b.Bound))
	return max(0, min(shares.Clients, shares.Accepted-b.Peers()))
}

// AdmitsPeer reports whether there is room for a further connection of another process of the system.
func (b Budget) AdmitsPeer() bool {
	return b.Clients()+b.Peers() < b.Divide(Limit(b.Bound)).Accepted
}
