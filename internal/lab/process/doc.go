// Package process starts, freezes, thaws, stops and kills the processes of a
// test fleet. Only processes that it started are ever signalled, by their
// identifier. A process ends with the one that started it.
package process
