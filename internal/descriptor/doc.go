// Package descriptor divides the file descriptors that a process may open among its clients, the other processes of the
// system and its files, so that none of them takes what another one needs.
package descriptor
