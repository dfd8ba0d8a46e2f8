// Package backend is a stand-in for the platform's servers: an HTTP server that
// follows docs/BACKEND.md, with bounded slots, queue and connections, cold
// start, load shedding, drain, cancel and deadlines. It records each execution
// before its answer goes out, and can be told over HTTP to misbehave.
package backend
