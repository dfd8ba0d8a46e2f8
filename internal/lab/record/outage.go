package record

import "github.com/thorntiller/thorntiller/internal/fault"

// Outage finds the longest time without success: from the first failed attempt
// after a success, or from that success if it came later than the attempt was
// sent, to the next success. The zero value is ready for use. It is not safe
// for concurrent use.
type Outage struct {
	lastSuccessNs int64
	sinceNs       int64
	longestNs     int64
}

// Add takes the done line of an attempt; lines come in the order of ReceivedNs.
func (o *Outage) Add(done Attempt) {
	if done.Outcome == fault.Completed {
		o.end(done.ReceivedNs)
		o.lastSuccessNs = done.ReceivedNs
		return
	}
	if o.sinceNs == 0 && isUnavailable(done) {
		o.sinceNs = max(done.SentNs, o.lastSuccessNs)
	}
}

// End closes an outage that lasted to the end of the run.
func (o *Outage) End(atNs int64) {
	o.end(atNs)
}

// LongestNs returns the longest outage in nanoseconds.
func (o *Outage) LongestNs() int64 {
	return o.longestNs
}

func (o *Outage) end(atNs int64) {
	if o.sinceNs == 0 {
		return
	}
	o.longestNs = max(o.longestNs, atNs-o.sinceNs)
	o.sinceNs = 0
}

// isUnavailable leaves out refusals that blame the request itself.
func isUnavailable(done Attempt) bool {
	if done.ErrorKind == "" {
		return true
	}
	const firstServerError, tooManyRequests = 500, 429
	status := fault.AnswerFor(done.ErrorKind).Status
	return status >= firstServerError || status == tooManyRequests
}
