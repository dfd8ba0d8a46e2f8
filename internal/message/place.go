package message

// PlaceRequest is a message from a gateway to a keeper, which is a gateway that allocates slots of
// instances. A place is the permission to send one request; see package room.
type PlaceRequest struct {
	Asks []PlaceAsk `msgpack:"a,omitempty"`
	Ends []PlaceEnd `msgpack:"e,omitempty"`
}

// PlaceAsk requests a place.
type PlaceAsk struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Number identifies the ask on its connection.
	Number uint32
	// Queue is the hash of a pool's name or, for keyed requests, the reference of the instance that
	// holds the key.
	Queue uint32
	// Urgency is the urgency of the route, from 0 for the least urgent to 100.
	Urgency    uint8
	TargetMs   uint32
	DeadlineMs uint32
}

// PlaceEnd returns a place, or withdraws an ask that still waits for one.
type PlaceEnd struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Number   uint32
	// Outcome is a room.Outcome.
	Outcome uint8
	TookMs  uint32
}

// PlaceReply is a message from a keeper to a gateway that asked for places.
type PlaceReply struct {
	Answers []PlaceAnswer `msgpack:"a"`
}

// PlaceAnswer is the result of an ask.
type PlaceAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Number   uint32
	// Verdict is a room.Verdict.
	Verdict uint8
	// Server is the reference of the instance that the place is granted for.
	Server uint32
	// WaitMs is the expected time until the next ask of the queue gets a place.
	WaitMs uint32
}
