package backend

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// AnswerBody is the JSON body of an executed request. It repeats the request,
// so that a caller can tell whether the whole answer is to its own request.
type AnswerBody struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Key         string `json:"key"`
	// RequestID is the router's identifier of its attempt.
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	// Execution numbers the executions of the incarnation, from 1.
	Execution uint64 `json:"execution"`
	// Balance counts the changes of the key on this incarnation.
	Balance uint64 `json:"balance"`
	// Payload is the request's body.
	Payload string `json:"payload"`
	// Checksum is the xxhash of the body with Checksum empty, in hexadecimal.
	Checksum string `json:"checksum"`
}

// Encode returns the JSON with the checksum filled in.
func (b AnswerBody) Encode() ([]byte, error) {
	checksum, err := b.checksum()
	if err != nil {
		return nil, err
	}
	b.Checksum = checksum
	encoded, err := json.Marshal(b)
	return encoded, eris.Wrap(err, "encode answer body")
}

func (b AnswerBody) checksum() (string, error) {
	b.Checksum = ""
	encoded, err := json.Marshal(b)
	if err != nil {
		return "", eris.Wrap(err, "encode answer body")
	}
	return strconv.FormatUint(xxhash.Sum64(encoded), 16), nil
}

// DecodeAnswerBody returns the body, or an error when it is not whole.
func DecodeAnswerBody(encoded []byte) (AnswerBody, error) {
	var body AnswerBody
	if err := json.Unmarshal(encoded, &body); err != nil {
		return AnswerBody{}, eris.Wrap(err, "decode answer body")
	}
	checksum, err := body.checksum()
	if err != nil {
		return AnswerBody{}, err
	}
	if checksum != body.Checksum {
		return AnswerBody{}, eris.Errorf("answer body: checksum is %s, content has %s", body.Checksum, checksum)
	}
	return body, nil
}

// answer is what goes out for one request.
type answer struct {
	requestID string
	body      []byte
}
