// Package platformapi defines the HTTP interface of the platform's list of live
// and leaving machines. The list may be out of date: it is no proof that a
// machine has stopped.
package platformapi
