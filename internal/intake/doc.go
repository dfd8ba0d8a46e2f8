// Package intake reads the bodies of clients' requests into memory that is taken from an overload.Budget before it is
// used.
package intake
