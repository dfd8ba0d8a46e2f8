// Package warmup limits the requests that cold instances get. A cold instance can carry only a few requests
// a second from all gateways together, and fails at more. Gateways do not know what the others send, and
// some may be cut off from the controllers.
//
// Each gateway sends to a cold instance at an equal share of the instance's rate: one request at a time, at
// an interval that grows with the number of gateways, beginning at a random point of the first interval. No
// gateway accumulates unused shares, so that the total depends only on the number of gateways, not on which
// they are. The package reads no clock.
package warmup
