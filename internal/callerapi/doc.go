// Package callerapi holds the published HTTP interface between callers and
// routers: the path layout, the headers, and the JSON body of a refusal.
// Callers need none of this project's code; this package serves the router and
// the stand-in callers.
//
// A caller sends METHOD http://<router>/<service>/<path>. The router answers
// the back end's answer whole, or a refusal whose kind comes from the closed
// list of package fault.
package callerapi
