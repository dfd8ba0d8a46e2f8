// Package startup tells how far a process has come from its start to its readiness, what it waits for, and which
// other processes it cannot reach. Each change is one log line; a wait that goes on is logged at growing intervals.
package startup
