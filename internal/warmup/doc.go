// Package warmup limits the requests that cold instances get. An instance carries few
// requests a second while it is cold, from all gateways together, and falls over at
// more; gateways do not see each other, and some may be cut off from the controllers.
//
// Each gateway admits requests to a cold instance at an equal share of its rate: one
// request, then none for a time that grows with the number of gateways, from a moment
// drawn at random. No gateway saves up what it did not use, so that the sum over all of
// them rests on their number alone, not on who they are. It is a pure core: it reads no
// clock.
package warmup
