// Package telemetry gives each process its log lines, metrics and health
// checks. Log lines are JSON with stable field names and an event name from a
// closed list. Metrics are declared by the packages that own them; this package
// gives the registry and the HTTP handlers.
package telemetry
