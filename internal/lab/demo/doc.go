// Package demo shows the product at work in under a minute: a small fleet of
// both deployments under load, a hot key that moves, a server that retires, and
// the loss of a back end, the leading controller and a router.
package demo
