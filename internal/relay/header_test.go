package relay

import (
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/fault"
)

// TestResultsProveWhatDidNotRun checks that each failure of a relay's attempt arrives with an outcome that is not
// more certain, and that an answer without a result of a relay proves nothing.
func TestResultsProveWhatDidNotRun(t *testing.T) {
	for _, kind := range fault.Kinds() {
		var header fasthttp.ResponseHeader
		SetResult(&header, ResultOf(fault.New(kind, "why")), "why\r\nX-Injected: 1")
		_, got := TakeResult(&header)
		if got == nil {
			t.Errorf("%s arrives as an answer", kind)
			continue
		}
		sent, arrived := fault.AnswerFor(kind).Outcome, fault.AnswerFor(got.Kind).Outcome
		if arrived == fault.NotRun && sent != fault.NotRun {
			t.Errorf("%s arrives as %s, which proves that the request did not run", kind, got.Kind)
		}
		if len(header.Peek("X-Injected")) > 0 || len(header.Peek(headerResult)) > 0 {
			t.Errorf("%s: header %q", kind, header.String())
		}
	}
	for _, value := range []string{"", "made_up"} {
		var header fasthttp.ResponseHeader
		header.Set(headerResult, value)
		if _, got := TakeResult(&header); got == nil || fault.AnswerFor(got.Kind).Outcome != fault.Unknown {
			t.Errorf("result %q: %v", value, got)
		}
	}
	var header fasthttp.ResponseHeader
	SetResult(&header, ResultOf(nil), "")
	if result, got := TakeResult(&header); result != Answered || got != nil {
		t.Errorf("an answer arrives as %q, %v", result, got)
	}
}

// TestTargetIsCarried checks that a target arrives as it was sent, that a caller cannot name one, and that bad
// content is an error which names the field.
func TestTargetIsCarried(t *testing.T) {
	for _, sent := range []Target{
		{Service: "view", Instance: "i-1#2", Keyed: true, Key: 65535}, {Service: "view", Instance: "i-1", Keyed: true}, {Service: "pay", Instance: "i-2"},
	} {
		var header fasthttp.RequestHeader
		header.Set(headerKey, "7")
		header.Set(headerService, "from-the-caller")
		SetTarget(&header, sent)
		got, failure := TakeTarget(&header)
		if failure != nil || got != sent {
			t.Errorf("%+v arrives as %+v, %v", sent, got, failure)
		}
		if len(header.Peek(headerService))+len(header.Peek(headerInstance))+len(header.Peek(headerKey)) > 0 {
			t.Errorf("the headers are left: %q", header.String())
		}
	}
	for _, bad := range [][3]string{{"", "i", ""}, {"s", "", ""}, {"s", "i", "x"}, {"s", "i", "65536"}, {"s", "i", "-1"}} {
		var header fasthttp.RequestHeader
		header.Set(headerService, bad[0])
		header.Set(headerInstance, bad[1])
		header.Set(headerKey, bad[2])
		if _, failure := TakeTarget(&header); failure == nil || failure.Kind != fault.InvalidRequest {
			t.Errorf("%q: %v", bad, failure)
		}
	}
}
