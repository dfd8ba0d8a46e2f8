package message

// PlaceRequest is a message from a gateway to one that gives out the places of instances.
type PlaceRequest struct {
	Asks []PlaceAsk `msgpack:"a,omitempty"`
	Ends []PlaceEnd `msgpack:"e,omitempty"`
}

// PlaceAsk asks for a place.
type PlaceAsk struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Number tells the asks on a connection apart.
	Number uint32
	// Queue is the hash of the name of a pool or, for keys, the reference of their holder.
	Queue uint32
	// Urgency is the rank of the route, from 0 for the least urgent to 100.
	Urgency    uint8
	TargetMs   uint32
	DeadlineMs uint32
}

// PlaceEnd gives a place back, or ends the wait for one.
type PlaceEnd struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Number   uint32
	// Outcome is a room.Outcome.
	Outcome uint8
	TookMs  uint32
}

// PlaceReply is a message to a gateway that asked for places.
type PlaceReply struct {
	Answers []PlaceAnswer `msgpack:"a"`
}

// PlaceAnswer tells what became of an ask.
type PlaceAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Number   uint32
	// Verdict is a room.Verdict.
	Verdict uint8
	// Server is the reference of the instance of a granted place.
	Server uint32
	// WaitMs is when the next ask of the queue is expected to get a place.
	WaitMs uint32
}
