// Package directoryapi is the published interface by which instances announce
// themselves and renew their leases, and by which operators change and read the
// items of the traffic configuration. docs/BACKEND.md describes it.
package directoryapi

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/thorntiller/thorntiller/internal/directory"
	"github.com/thorntiller/thorntiller/internal/fault"
	"github.com/thorntiller/thorntiller/internal/heartbeat"
)

// Paths of the calls, all by POST.
const (
	// PathItems takes a directory.PatchBody.
	PathItems = "/v1/items"
	// PathReadItems answers a directory.ItemSet.
	PathReadItems = "/v1/items/read"
	// PathHeartbeat takes a Heartbeat and answers an Answer.
	PathHeartbeat = "/v1/instances/:id/heartbeat"
	// PathEvacuate asks that the instances of a zone get no requests, and PathRestore
	// takes that back. Neither has a body, and both may be sent again.
	PathEvacuate = "/v1/zones/:zone/evacuate"
	PathRestore  = "/v1/zones/:zone/restore"
	// PathLeave says that an instance leaves for good.
	PathLeave = "/v1/instances/:id/leave"
)

// States that an instance reports.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Heartbeat is the body of an instance's heartbeat.
type Heartbeat struct {
	Service string `json:"service"`
	// Address accepts requests, IP:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// WarmUpLeftMs is how much longer the instance is slow from its start.
	WarmUpLeftMs float64 `json:"warm_up_left_ms"`
	Sequence     uint64  `json:"sequence"`
	// Holdings are rows of first key, last key and fence that the instance holds or
	// still works on.
	Holdings []HeldRow `json:"holdings"`
	// Released are rows of first key, last key and handover that it let go since the
	// last heartbeat that was acknowledged.
	Released []ReleasedRow `json:"released"`
}

// HeldRow is a row of first key, last key and fence.
type HeldRow heartbeat.Held

// UnmarshalJSON implements json.Unmarshaler.
func (r *HeldRow) UnmarshalJSON(data []byte) error {
	return readRow(data, &r.First, &r.Last, &r.Fence)
}

// ReleasedRow is a row of first key, last key and handover.
type ReleasedRow heartbeat.Released

// UnmarshalJSON implements json.Unmarshaler.
func (r *ReleasedRow) UnmarshalJSON(data []byte) error {
	return readRow(data, &r.First, &r.Last, &r.Handover)
}

func readRow(data []byte, fields ...any) error {
	var cells []json.RawMessage
	if err := json.Unmarshal(data, &cells); err != nil {
		return err
	}
	if len(cells) < len(fields) {
		return fault.Newf(fault.InvalidArgument, "a row has %d cells: give %d", len(cells), len(fields))
	}
	for index, field := range fields {
		if err := json.Unmarshal(cells[index], field); err != nil {
			return err
		}
	}
	return nil
}

// Beat checks the body and returns it in the terms of package heartbeat.
func (h Heartbeat) Beat(id directory.InstanceID) (heartbeat.Beat, error) {
	switch {
	case id == "":
		return heartbeat.Beat{}, fault.New(fault.InvalidArgument, "instance: is empty: put the identifier into the path")
	case h.Service == "":
		return heartbeat.Beat{}, fault.New(fault.InvalidArgument, "service: is empty: name the service")
	case h.Address == "":
		return heartbeat.Beat{}, fault.New(fault.InvalidArgument, "address: is empty: give IP:port")
	case h.State != StateReady && h.State != StateDraining:
		return heartbeat.Beat{}, fault.Newf(fault.InvalidArgument, "state: %q is neither ready nor draining", h.State)
	}
	beat := heartbeat.Beat{
		Instance: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Slots: h.Slots,
		Draining: h.State == StateDraining, WarmUp: h.warmUp(), Sequence: h.Sequence,
	}
	for _, row := range h.Holdings {
		beat.Held = append(beat.Held, heartbeat.Held(row))
	}
	for _, row := range h.Released {
		beat.Released = append(beat.Released, heartbeat.Released(row))
	}
	return beat, nil
}

// longestWarmUpMs bounds the time for which an instance may say that it is slow.
const longestWarmUpMs = 60_000

// WarmUpInBounds reports whether the time that the instance is still slow makes sense.
func (h Heartbeat) WarmUpInBounds() bool {
	return h.WarmUpLeftMs >= 0 && h.WarmUpLeftMs <= longestWarmUpMs
}

// warmUp returns the time that the instance is still slow, within bounds.
func (h Heartbeat) warmUp() time.Duration {
	return time.Duration(min(max(h.WarmUpLeftMs, 0), longestWarmUpMs) * float64(time.Millisecond))
}

// Answer is the answer to a heartbeat.
type Answer struct {
	// HeartbeatAddress takes the instance's later heartbeats.
	HeartbeatAddress string `json:"heartbeat_address,omitempty"`
	// Holdings are all that the instance may hold; nil renews nothing.
	Holdings *[]GrantedRow `json:"holdings,omitempty"`
	// LeaseMs counts from the sending of the heartbeat.
	LeaseMs int64 `json:"lease_ms,omitempty"`
}

// GrantedRow is a row of first key, last key, fence and handover.
type GrantedRow directory.Holding

// MarshalJSON implements json.Marshaler.
func (r GrantedRow) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.First, r.Last, r.Fence, r.Handover})
}

// Bounds of an answer, in bytes.
const (
	// MaxAnswerBytes is the largest answer that an instance takes.
	MaxAnswerBytes = 4096
	// envelopeBytes is the most that the answer takes beside its rows.
	envelopeBytes = 112
	// rowBytes is what a row takes beside its numbers and its handover.
	rowBytes = len(`[,,,""],`)
)

// AnswerOf returns the answer for a grant by the controller at an address. One that
// would be larger than an instance takes is cut: first handovers are left out, of the
// last rows first, then rows, which the instance then lets go. It reports how many rows
// were left out.
func AnswerOf(grant heartbeat.Grant, address string) (answer Answer, leftOut int) {
	answer = Answer{HeartbeatAddress: address}
	if !grant.Renewed {
		return answer, 0
	}
	rows := make([]GrantedRow, 0, len(grant.Holdings))
	size := envelopeBytes
	for _, holding := range grant.Holdings {
		rows = append(rows, GrantedRow(holding))
		size += GrantedRow(holding).size()
	}
	for index := len(rows) - 1; index >= 0 && size > MaxAnswerBytes; index-- {
		size -= len(rows[index].Handover)
		rows[index].Handover = ""
	}
	for size > MaxAnswerBytes {
		last := len(rows) - 1
		size -= rows[last].size()
		rows = rows[:last]
	}
	answer.Holdings = &rows
	answer.LeaseMs = grant.Lease.Milliseconds()
	return answer, len(grant.Holdings) - len(rows)
}

// size returns the bytes of the row in an answer.
func (r GrantedRow) size() int {
	const decimal = 10
	digits := func(number uint64) int { return len(strconv.FormatUint(number, decimal)) }
	return rowBytes + digits(uint64(r.First)) + digits(uint64(r.Last)) + digits(uint64(r.Fence)) + len(r.Handover)
}
