package router

import "net"

// tlsListener returns a listener that requires certificates from other routers, or the
// listener itself if the router has none. It is not used for callers' connections, which
// stay plain HTTP.
func (r *Router) tlsListener(listener net.Listener) net.Listener {
	if r.certificates == nil {
		return listener
	}
	return r.certificates.Listener(listener)
}
