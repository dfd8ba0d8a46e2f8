// Package room keeps the places of servers. Gateways do not see each other's requests, so
// that each of them alone knows next to nothing of a server with two slots: queues grow at
// some servers while others rest, a holder of hot keys is late for everybody, and a server
// that is full resets connections of requests that may not be repeated. So each server has
// one gateway as its keeper, which counts what all gateways have in flight there and gives
// out places. Requests wait with the keeper, the more urgent first, and one that can't be
// answered in time is rejected at once with the time at which there is room.
//
// What a keeper knows is soft: a new one learns from the next asks, and the places that its
// predecessor gave out end by themselves. Two keepers of one server fill it at most twice,
// which its own queue takes. A gateway that gets no answer goes on by its own counts.
//
// It is a pure core: it reads no clock and sends nothing.
package room
