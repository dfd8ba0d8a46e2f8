// Package hollow simulates many nodes in one process. Hollow back ends take
// real lease messages and requests, and hollow routers take real routing tables,
// so that controllers and routers cannot tell them from processes of their own.
// Every byte and message is counted.
package hollow
