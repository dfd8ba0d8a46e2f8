// Package dispatch decides where a request goes next. It is a pure core: the
// routing table, the request's history, in-flight counts, health and a clock
// reading go in; one typed decision comes out. The router's process and the
// simulator carry out the same decisions.
package dispatch
