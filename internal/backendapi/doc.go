// Package backendapi holds the published HTTP interface of back ends, as
// described in docs/BACKEND.md: paths, headers, and JSON bodies. Back ends
// need none of this project's code; this package serves the product's side
// and the stand-ins.
package backendapi
