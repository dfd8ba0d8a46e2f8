// Package slowdisk is a file layer over another one whose syncs and writes take
// a given time, or as long as the disk is stalled. It is steered by a small file
// while it runs, and reports beside that file what it held up, so that a run can
// show that the fault took place.
package slowdisk
