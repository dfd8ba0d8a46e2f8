// Package checker judges a simulated run: it is told what each process did, in
// true time, and keeps the first violation of a guarantee. It decides nothing
// for the simulated processes and shares no code with them.
package checker
