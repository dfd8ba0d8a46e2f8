package directory

import (
	"slices"
	"strconv"
	"strings"
)

// A server may start again under the identifier that it had. Its new life holds and knows
// nothing of the earlier one, so that it is an instance of its own: its InstanceID is made of
// the server's identifier and the time of its start.

// incarnationMark stands between a server's identifier and the time of its start.
const incarnationMark = "@"

// Incarnation is one life of a server.
type Incarnation struct {
	// Server is the identifier by which the server knows itself.
	Server string
	// Born is when it started, as Unix milliseconds of its own clock; zero for a server that
	// does not tell it.
	Born uint64
}

// ID returns the identifier of the instance.
func (i Incarnation) ID() InstanceID {
	if i.Born == 0 {
		return InstanceID(i.Server)
	}
	return InstanceID(i.Server + incarnationMark + strconv.FormatUint(i.Born, 10))
}

// Incarnation returns which life of which server the instance is.
func (id InstanceID) Incarnation() Incarnation {
	position := strings.LastIndex(string(id), incarnationMark)
	if position < 0 {
		return Incarnation{Server: string(id)}
	}
	born, err := strconv.ParseUint(string(id[position+len(incarnationMark):]), 10, 64)
	if err != nil {
		return Incarnation{Server: string(id)}
	}
	return Incarnation{Server: string(id[:position]), Born: born}
}

// Server returns the identifier by which the server knows itself.
func (id InstanceID) Server() string { return id.Incarnation().Server }

// ValidServer reports whether a server may have the identifier.
func ValidServer(server string) bool {
	return server != "" && !strings.Contains(server, incarnationMark)
}

// Lives returns the known instances that are lives of one server, those that are gone too.
func (d *Directory) Lives(server string) []Instance {
	var lives []Instance
	for _, id := range d.byServer[server] {
		lives = append(lives, *d.instances[id])
	}
	return lives
}

// endEarlierLives marks the earlier lives of a server as gone: its start proves that they have
// ended.
func (d *Directory) endEarlierLives(revision Revision, newer Instance) {
	started := newer.ID.Incarnation()
	for _, earlier := range d.Lives(started.Server) {
		if earlier.Ended || earlier.ID.Incarnation().Born >= started.Born {
			continue
		}
		earlier.State = InstanceGone
		earlier.Ended = true
		d.putInstance(revision, earlier)
	}
}

// addLife adds an instance to the lives of its server. The list is replaced and never changed.
func (d *Directory) addLife(id InstanceID) {
	server := id.Server()
	d.byServer[server] = append(slices.Clone(d.byServer[server]), id)
}

func (d *Directory) removeLife(id InstanceID) {
	server := id.Server()
	left := slices.DeleteFunc(slices.Clone(d.byServer[server]), func(each InstanceID) bool { return each == id })
	if len(left) == 0 {
		delete(d.byServer, server)
		return
	}
	d.byServer[server] = left
}
