// Package message holds the typed messages that travel between this project's
// own processes in msgpack frames: controllers among themselves, routers with
// controllers, and routers among themselves.
package message
