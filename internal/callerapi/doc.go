// Package callerapi defines the published HTTP interface between callers and
// routers: the path layout, the headers, and the JSON body of a refusal.
// Callers do not need this project's code; this package is for the router and
// the simulated callers.
//
// A caller sends METHOD http://<router>/<service>/<path>. The router returns
// either the back end's complete answer or a refusal whose kind is from the
// closed list of package fault.
package callerapi
