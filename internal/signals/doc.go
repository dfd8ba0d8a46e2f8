// Package signals handles the signals of a process that runs a role: SIGHUP says that its settings file has changed,
// SIGTERM and SIGINT ask it to stop, and SIGPIPE is ignored. A program that imports it ignores SIGHUP until they are handled, since the default
// action ends the process.
package signals
