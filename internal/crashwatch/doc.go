// Package crashwatch runs the decisions of package quarantine in a process that sends requests to
// servers, a gateway or a router: it probes servers that lost requests (Watch), computes the
// fingerprints of requests that may be suspected and keeps those in quarantine from being sent (Guard).
package crashwatch
