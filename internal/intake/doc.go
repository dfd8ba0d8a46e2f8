// Package intake reads the heads and bodies of clients' requests into memory that is taken from an overload.Budget before
// it is used.
package intake
