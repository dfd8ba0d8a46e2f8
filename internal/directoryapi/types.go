// Package directoryapi defines the public API by which instances announce themselves and renew
// their leases, and by which operators change and read the items of the traffic configuration.
// docs/BACKEND.md describes it.
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
	// PathItems accepts a directory.PatchBody.
	PathItems = "/v1/items"
	// PathReadItems returns a directory.ItemSet.
	PathReadItems = "/v1/items/read"
	// PathHeartbeat accepts a Heartbeat and returns an Answer.
	PathHeartbeat = "/v1/instances/:id/heartbeat"
	// PathEvacuate stops requests to the instances of a zone, and PathRestore reverts that. Neither
	// has a body, and both may be repeated.
	PathEvacuate = "/v1/zones/:zone/evacuate"
	PathRestore  = "/v1/zones/:zone/restore"
	// PathLeave announces that an instance leaves for good.
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
	// Address is the IP:port that accepts requests.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// WarmUpLeftMs is the remaining time for which the instance is slow after its start.
	WarmUpLeftMs float64 `json:"warm_up_left_ms"`
	Sequence     uint64  `json:"sequence"`
	// Born is the start time in Unix milliseconds by the server's own clock: a server may restart
	// with the same identifier.
	Born StartTime `json:"born"`
	// Holdings are rows of first key, last key and fence, of the keys that the instance holds or
	// for which it still processes requests.
	Holdings []HeldRow `json:"holdings"`
	// Released are rows of first key, last key and handover, of the keys that the instance released
	// since the last acknowledged heartbeat.
	Released []ReleasedRow `json:"released"`
}

// StartTime is the start time of a server in Unix milliseconds; zero for a server that does not
// report it.
type StartTime uint64

// maxStartTime bounds start times: integers up to it are represented exactly by a JSON number.
const maxStartTime = 1 << 53

// UnmarshalJSON implements json.Unmarshaler. Valid start times are whole numbers above 0, up to
// maxStartTime.
func (t *StartTime) UnmarshalJSON(data []byte) error {
	const decimal, bits = 10, 64
	milliseconds, err := strconv.ParseUint(string(data), decimal, bits)
	if err != nil || milliseconds == 0 || milliseconds > maxStartTime {
		return fault.Newf(fault.InvalidArgument, "born: %.40s is no time of a start: give whole Unix milliseconds", data)
	}
	*t = StartTime(milliseconds)
	return nil
}

// Leave is the body by which a server announces that it leaves for good; the body may be empty.
type Leave struct {
	Born StartTime `json:"born"`
}

// ReadLeave decodes the body of a call to PathLeave.
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

// HeldRow is a row of first key, last key and fence, encoded as a JSON array.
type HeldRow heartbeat.Held

// UnmarshalJSON implements json.Unmarshaler.
func (r *HeldRow) UnmarshalJSON(data []byte) error {
	return readRow(data, &r.First, &r.Last, &r.Fence)
}

// ReleasedRow is a row of first key, last key and handover, encoded as a JSON array.
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

// Beat validates the heartbeat and converts it to the type of package heartbeat.
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

// maxWarmUpMs bounds the remaining warm-up time that an instance may report.
const maxWarmUpMs = 60_000

// WarmUpInBounds reports whether the reported remaining warm-up time is valid.
func (h Heartbeat) WarmUpInBounds() bool {
	return h.WarmUpLeftMs >= 0 && h.WarmUpLeftMs <= maxWarmUpMs
}

// warmUp returns the reported remaining warm-up time, clamped to the valid range.
func (h Heartbeat) warmUp() time.Duration {
	return time.Duration(min(max(h.WarmUpLeftMs, 0), maxWarmUpMs) * float64(time.Millisecond))
}

// Answer is the answer to a heartbeat.
type Answer struct {
	// HeartbeatAddress is the address for the instance's next heartbeats.
	HeartbeatAddress string `json:"heartbeat_address,omitempty"`
	// Holdings are all keys that the instance may hold; nil if nothing is renewed.
	Holdings *[]GrantedRow `json:"holdings,omitempty"`
	// LeaseMs is the length of the lease, counted from the sending of the heartbeat.
	LeaseMs int64 `json:"lease_ms,omitempty"`
}

// GrantedRow is a row of first key, last key, fence and handover, encoded as a JSON array.
type GrantedRow directory.Holding

// MarshalJSON implements json.Marshaler.
func (r GrantedRow) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.First, r.Last, r.Fence, r.Handover})
}

// Bounds of an answer, in bytes.
const (
	// MaxAnswerBytes is the size of the largest answer that an instance accepts.
	MaxAnswerBytes = 4096
	// envelopeBytes bounds the size of an answer without its rows.
	envelopeBytes = 112
	// rowBytes is the size of a row without its numbers and its handover.
	rowBytes = len(`[,,,""],`)
)

// AnswerOf returns the answer for a grant by the controller at an address. An answer larger than an
// instance accepts is reduced: handovers are left out first, starting at the last row, then whole
// rows, starting at the last; the instance releases the keys of these rows. leftOut is the number
// of rows that were left out.
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

// size returns the size of the row in an answer, in bytes.
func (r GrantedRow) size() int {
	const decimal = 10
	digits := func(number uint64) int { return len(strconv.FormatUint(number, decimal)) }
	return rowBytes + digits(uint64(r.First)) + digits(uint64(r.Last)) + digits(uint64(r.Fence)) + len(r.Handover)
}
