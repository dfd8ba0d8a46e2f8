// Package crashwatch applies package quarantine in a process that sends requests to servers, that is, in a
// gateway or router. It probes servers that lost requests (Watch), computes the fingerprints of requests
// that may be suspected, and rejects requests in quarantine before they are sent (Guard).
package crashwatch
