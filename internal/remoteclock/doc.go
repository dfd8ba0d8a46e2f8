// Package remoteclock places readings of other processes' clocks on the own clock. An answer that took long says by itself
// only that it was given after its request was sent. Together with earlier answers of the same process it says more: clocks
// of two machines keep their distance, and the shortest way of a request towards that process bounds this distance.
package remoteclock
