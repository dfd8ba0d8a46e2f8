// Package record holds the record files of the stand-ins and their comparison
// after a run. Back ends write Execution lines, callers write Attempt lines,
// and whoever runs the fleet writes Event lines. Verify reads them and counts
// each broken guarantee; it never asks the product.
//
// Times are CLOCK_BOOTTIME of the machine in nanoseconds, so that lines of
// several processes of one machine can be ordered.
package record
