package router

import "net"

// secure makes the listener for other routers demand certificates. Callers'
// connections stay as they are: they speak their usual protocol.
func (r *Router) secure(inner net.Listener) net.Listener {
	if r.certificates == nil {
		return inner
	}
	return r.certificates.Listener(inner)
}
