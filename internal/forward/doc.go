// Package forward sends one attempt of a request to one back end and says what
// became of it in terms of package fault. It never sends anything twice by
// itself, counts the bytes written so that "nothing was written" is a proof,
// and closes each connection whose answer was late, cut short or not its own.
package forward
