// Package planner builds the plan for an operator's intent: a list of operations
// with the revision and epochs that they are based on, human-readable reasons, and a
// prediction of the effect. The plan is a pure function of the replicated state,
// the measured handover times and the intent; the package changes no state.
package planner
