// Package platformapi holds the HTTP interface of the platform's list of live
// and leaving machines. The list lags: a reader must not take it as proof that
// a machine stopped.
package platformapi
