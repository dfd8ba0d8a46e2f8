package faultproxy

// ToxicType names a kind of fault of the toxiproxy library.
type ToxicType string

// Kinds of faults.
const (
	// ToxicTimeout drops all bytes and keeps the connection open in silence.
	ToxicTimeout ToxicType = "timeout"
	// ToxicLatency delays all bytes; they arrive late, in order.
	ToxicLatency ToxicType = "latency"
	// ToxicReset resets the connection.
	ToxicReset ToxicType = "reset_peer"
	// ToxicBandwidth bounds the bytes per second.
	ToxicBandwidth ToxicType = "bandwidth"
	// ToxicSlicer cuts the bytes into small packets.
	ToxicSlicer ToxicType = "slicer"
	// ToxicLimitData closes the connection after a number of bytes.
	ToxicLimitData ToxicType = "limit_data"
)

// Direction is the direction of the bytes that a fault acts on.
type Direction string

// Directions, as the toxiproxy library names them.
const (
	// Upstream: from the dialing to the accepting process.
	Upstream Direction = "upstream"
	// Downstream: from the accepting to the dialing process.
	Downstream Direction = "downstream"
)

// Attributes are the parameters of a fault. Each type reads its own fields.
type Attributes struct {
	// TimeoutMs is the time after which the connection closes (timeout,
	// reset_peer), in milliseconds; zero of a timeout stands for never.
	TimeoutMs int64 `json:"timeout"`
	// LatencyMs and JitterMs are in milliseconds (latency).
	LatencyMs int64 `json:"latency,omitempty"`
	JitterMs  int64 `json:"jitter,omitempty"`
	// Rate is in kilobytes per second (bandwidth).
	Rate int64 `json:"rate,omitempty"`
	// Bytes is the number of bytes let through (limit_data).
	Bytes int64 `json:"bytes,omitempty"`
	// AverageSize and SizeVariation are in bytes, Delay in microseconds
	// (slicer).
	AverageSize   int `json:"average_size,omitempty"`
	SizeVariation int `json:"size_variation,omitempty"`
	Delay         int `json:"delay,omitempty"`
}

// Toxic is one fault on one direction of a link.
type Toxic struct {
	Name      string    `json:"name"`
	Type      ToxicType `json:"type"`
	Direction Direction `json:"stream"`
	// Toxicity is the share of connections that the fault acts on, 0 to 1.
	Toxicity   float32    `json:"toxicity"`
	Attributes Attributes `json:"attributes"`
}

// Silence returns the fault that drops every byte of one direction.
func Silence(direction Direction) Toxic {
	return Toxic{Name: "silence-" + string(direction), Type: ToxicTimeout, Direction: direction, Toxicity: 1}
}

// Delay returns the fault that delays every byte of one direction.
func Delay(direction Direction, latencyMs, jitterMs int64) Toxic {
	return Toxic{
		Name: "delay-" + string(direction), Type: ToxicLatency, Direction: direction, Toxicity: 1,
		Attributes: Attributes{LatencyMs: latencyMs, JitterMs: jitterMs},
	}
}
