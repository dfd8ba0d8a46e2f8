package directory

import (
	"slices"
	"strconv"
	"strings"
)

// A server may restart with the same identifier. The new process holds no keys and no state of the
// earlier one, so it is a separate instance: its InstanceID consists of the server's identifier and
// its start time.

// incarnationSeparator separates a server's identifier from its start time.
const incarnationSeparator = "@"

// Incarnation is one run of a server, from its start to its end.
type Incarnation struct {
	// Server is the identifier that the server has for itself.
	Server string
	// Born is the start time in Unix milliseconds by the server's own clock; zero for a server that
	// does not report it.
	Born uint64
}

// ID returns the identifier of the instance.
func (i Incarnation) ID() InstanceID {
	if i.Born == 0 {
		return InstanceID(i.Server)
	}
	return InstanceID(i.Server + incarnationSeparator + strconv.FormatUint(i.Born, 10))
}

// Incarnation returns the server and start time that the identifier consists of.
func (id InstanceID) Incarnation() Incarnation {
	position := strings.LastIndex(string(id), incarnationSeparator)
	if position < 0 {
		return Incarnation{Server: string(id)}
	}
	born, err := strconv.ParseUint(string(id[position+len(incarnationSeparator):]), 10, 64)
	if err != nil {
		return Incarnation{Server: string(id)}
	}
	return Incarnation{Server: string(id[:position]), Born: born}
}

// Server returns the identifier that the server has for itself.
func (id InstanceID) Server() string { return id.Incarnation().Server }

// ValidServer reports whether the identifier is valid for a server.
func ValidServer(server string) bool {
	return server != "" && !strings.Contains(server, incarnationSeparator)
}

// Incarnations returns the known incarnations of a server, including those that are gone.
func (d *Directory) Incarnations(server string) []Instance {
	var incarnations []Instance
	for _, id := range d.byServer[server] {
		incarnations = append(incarnations, *d.instances[id])
	}
	return incarnations
}

// endEarlierIncarnations marks the earlier incarnations of a server as gone: its restart proves
// that they have ended.
func (d *Directory) endEarlierIncarnations(revision Revision, newer Instance) {
	newest := newer.ID.Incarnation()
	for _, earlier := range d.Incarnations(newest.Server) {
		if earlier.Ended || earlier.ID.Incarnation().Born >= newest.Born {
			continue
		}
		earlier.State = InstanceGone
		earlier.Ended = true
		d.updateInstance(revision, earlier)
	}
}

// addIncarnation adds an instance to the incarnations of its server. The list is replaced and never
// modified.
func (d *Directory) addIncarnation(id InstanceID) {
	server := id.Server()
	d.byServer[server] = append(slices.Clone(d.byServer[server]), id)
}

func (d *Directory) removeIncarnation(id InstanceID) {
	server := id.Server()
	remaining := slices.DeleteFunc(slices.Clone(d.byServer[server]), func(other InstanceID) bool { return other == id })
	if len(remaining) == 0 {
		delete(d.byServer, server)
		return
	}
	d.byServer[server] = remaining
}
