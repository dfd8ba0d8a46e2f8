package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/thorntiller/thorntiller/internal/fault"
)

func errorAs[T error](err error, target *T) bool {
	return errors.As(err, target)
}

// decodeStrictly decodes a JSON body and rejects unknown fields, so that a misspelled field does not silently
// fall back to its default.
func decodeStrictly(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fault.Newf(fault.InvalidArgument, "body: %v: see docs/OPERATIONS.md for the fields", err)
	}
	return nil
}

func setRetryAfter(call fiber.Ctx, answer fault.Answer) {
	if answer.RetryAfter > 0 {
		seconds := int(answer.RetryAfter / time.Second)
		call.Set(fiber.HeaderRetryAfter, strconv.Itoa(max(seconds, 1)))
	}
}
