// Package telemetry provides logging, metrics and health checks for each
// process. Log lines are JSON with stable field names and an event name from a
// closed list. Metrics are declared by the packages that own them; this package
// provides the registry and the HTTP handlers.
package telemetry
