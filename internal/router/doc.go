// Package router implements the router process. It subscribes to the routing table
// of the controllers, accepts callers' HTTP requests, and forwards each request to the
// owner of its key or, without a key, to a server with little load. Packages
// execution, dispatch, retry, admission and health make the decisions; this package
// carries them out and owns the listeners and the process's lifecycle.
package router
