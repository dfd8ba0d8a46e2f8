// Package planner turns an operator's intent into a plan: a list of operations
// with the state that they rest on, reasons for a person to read, and a
// prediction. It is a pure function of the replicated state and the intent,
// and changes nothing.
package planner
