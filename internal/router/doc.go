// Package router is the router process. It keeps the routing table by a
// subscription to the controllers, accepts callers' HTTP, and sends each
// request to the owner of its key or to a free server. The decisions are made
// by packages dispatch, retry, admission and health; this package carries them
// out and owns the listeners and the process's life.
package router
