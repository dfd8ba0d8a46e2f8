// Package intentapi defines the paths and JSON bodies of the intent API, which the
// controllers serve to operators, and the client for the command line tool.
package intentapi
