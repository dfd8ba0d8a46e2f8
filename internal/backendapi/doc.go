// Package backendapi defines the published HTTP interface of back ends, as
// described in docs/BACKEND.md: paths, headers, and JSON bodies. Back ends do
// not need this project's code; this package is for routers, gateways and controllers
// and for the simulated back ends.
package backendapi
