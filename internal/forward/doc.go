// Package forward sends one attempt of a request to one back end and reports the
// result as an error of package fault. It never resends a request, counts
// the bytes written so that it can prove that nothing was written, and closes each
// connection whose answer was late, truncated or belongs to another attempt.
package forward
