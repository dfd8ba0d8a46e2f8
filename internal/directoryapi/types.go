// Package directoryapi is the published interface by which instances announce
// themselves and renew their leases, and by which operators change and read the
// items of the traffic configuration. docs/BACKEND.md describes it.
package directoryapi

import (
	"bytes"
	"encoding/json"
	"net/netip"
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
	// Born is when the server started, as Unix milliseconds of its own clock: a server may
	// start again under its identifier.
	Born StartTime `json:"born"`
	// Holdings are rows of first key, last key and fence that the instance holds or
	// still works on.
	Holdings []HeldRow `json:"holdings"`
	// Released are rows of first key, last key and handover that it let go since the
	// last heartbeat that was acknowledged.
	Released []ReleasedRow `json:"released"`
}

// StartTime is when a server started, as Unix milliseconds; zero for one that does not tell it.
type StartTime uint64

// latestStart bounds the times of start: what a JSON number holds exactly.
const latestStart = 1 << 53

// UnmarshalJSON implements json.Unmarshaler. Only whole numbers above 0 are times of start.
func (t *StartTime) UnmarshalJSON(data []byte) error {
	const decimal, bits = 10, 64
	milliseconds, err := strconv.ParseUint(string(data), decimal, bits)
	if err != nil || milliseconds == 0 || milliseconds > latestStart {
		return fault.Newf(fault.InvalidArgument, "born: %.40s is no time of a start: give whole Unix milliseconds", data)
	}
	*t = StartTime(milliseconds)
	return nil
}

// Leave is the body by which a server says that it leaves for good; it may be empty.
type Leave struct {
	Born StartTime `json:"born"`
}

// ReadLeave reads the body of a server's word that it leaves.
func ReadLeave(body []byte) (Leave, error) {
	var leave Leave
	if len(bytes.TrimSpace(body)) == 0 {
		return leave, nil
	}
	if err := json.Unmarshal(body, &leave); err != nil {
		return Leave{}, fault.Newf(fault.InvalidArgument, "body: %v: leave it out, or send one JSON object", err)
	}
	return leave, nil
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
func (h Heartbeat) Beat(server string) (heartbeat.Beat, error) {
	switch {
	case !directory.ValidServer(server):
		return heartbeat.Beat{}, fault.Newf(fault.InvalidArgument, "instance: %.64q is no identifier: put one without @ into the path", server)
	case h.Zone == "":
		return heartbeat.Beat{}, fault.New(fault.InvalidArgument, "zone: is empty: name the zone that the server stands in")
	case h.Slots < 1:
		return heartbeat.Beat{}, fault.Newf(fault.InvalidArgument, "slots: %d is below 1: tell how many requests the server works on at once", h.Slots)
	case h.Sequence == 0:
		return heartbeat.Beat{}, fault.New(fault.InvalidArgument, "sequence: is missing: begin at 1 and raise it with each heartbeat")
	case h.Service == "":
		return heartbeat.Beat{}, fault.New(fault.InvalidArgument, "service: is empty: name the service")
	case !validAddress(h.Address):
		return heartbeat.Beat{}, fault.Newf(fault.InvalidArgument, "address: %.64q is not IP:port", h.Address)
	case h.State != StateReady && h.State != StateDraining:
		return heartbeat.Beat{}, fault.Newf(fault.InvalidArgument, "state: %q is neither ready nor draining", h.State)
	}
	beat := heartbeat.Beat{
		Instance: directory.Incarnation{Server: server, Born: uint64(h.Born)}.ID(), Service: h.Service, Address: h.Address, Zone: h.Zone, Slots: h.Slots,
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

func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
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
