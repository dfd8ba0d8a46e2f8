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

// AdmitsClient reports whether there is room for a further connection of a client.
func (b Budget) AdmitsClient() bool {
	shares, clients := b.Divide(Limit(b.Bound)), b.Clients()
	return clients < shares.Clients && clients+b.Peers() < shares.Accepted
}

// AdmitsPeer reports whether there is room for a further connection of another process of the system.
func (b Budget) AdmitsPeer() bool {
	return b.Clients()+b.Peers() < b.Divide(Limit(b.Bound)).Accepted
}
