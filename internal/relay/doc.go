// Package relay is the way of a request to an instance through another gateway, for a gateway that cannot open
// a connection to the instance itself. It has the headers of a relayed request and its answer, and decides which
// gateway is asked. A relay sends directly, or not at all: a request is relayed at most once.
package relay
