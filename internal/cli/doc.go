// Package cli holds the commands of the program thorntiller: the two roles of a
// process, the check of settings files, and the operators' commands, which
// speak the intent API.
package cli
