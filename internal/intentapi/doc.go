// Package intentapi holds the paths and JSON bodies of the intent API that the
// controllers serve to operators, and the client that the command line uses.
package intentapi
