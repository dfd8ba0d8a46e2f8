// Package fleet runs a whole deployment on one machine: controllers, routers,
// stand-in back ends and the platform's list as separate processes on loopback,
// each with its settings file and data folder below one working folder.
package fleet
