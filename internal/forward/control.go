package forward

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/answerhead"
	"github.com/thorntiller/thorntiller/internal/backendapi"
)

// Cancel asks the back end to cancel an attempt. It returns true only if the back end
// guarantees that the attempt never started and never will.
func (c *Client) Cancel(attemptID string, timeout time.Duration) (bool, error) {
	body, err := json.Marshal(backendapi.CancelRequest{RequestID: attemptID})
	if err != nil {
		return false, eris.Wrap(err, "encode cancel")
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(body)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := c.controlCall(backendapi.PathCancel, request, response, timeout); err != nil {
		return false, err
	}
	var answer backendapi.CancelAnswer
	if err := json.Unmarshal(response.Body(), &answer); err != nil {
		return false, eris.Wrap(err, "decode cancel answer")
	}
	neverStarted := response.StatusCode() == fasthttp.StatusOK &&
		answer.RequestID == attemptID && answer.Outcome == backendapi.CancelNeverStarted
	return neverStarted, nil
}

// Healthy reports whether the back end's health endpoint answers with status 200. The
// result is only a hint. The error is not nil if it could not be asked for a reason that
// IsLocal recognizes.
func (c *Client) Healthy(timeout time.Duration) (bool, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err := c.controlCall(backendapi.PathHealth, request, response, timeout)
	if IsLocal(err) {
		return false, err
	}
	return err == nil && response.StatusCode() == fasthttp.StatusOK, nil
}

// controlCall makes one call on a connection without unread bytes: a surplus answer to an earlier call would otherwise be
// taken for that to each later one.
func (c *Client) controlCall(path string, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	request.SetRequestURI("http://" + c.address + path)
	deadline := time.Now().Add(timeout)
	connection, err := c.acquireControl(deadline)
	if err != nil {
		return eris.Wrapf(err, "call %s", path)
	}
	reusable, err := c.exchangeControl(connection, request, response, deadline)
	connection.endAttempt()
	if !reusable {
		connection.close()
		return eris.Wrapf(err, "call %s", path)
	}
	connection.release()
	return nil
}

// acquireControl takes a connection for a control call from the pool, or opens one.
func (c *Client) acquireControl(deadline time.Time) (*countingConnection, error) {
	for {
		connection, err := take(c.control, deadline)
		if err != nil {
			return nil, err
		}
		if connection.requests == 0 || connection.reusable(c.settings.IdleTimeout) {
			connection.requests++
			return connection, nil
		}
		connection.close()
	}
}

// exchangeControl writes a control call and reads its answer. It reports whether the connection may be used again.
func (c *Client) exchangeControl(connection *countingConnection, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) (bool, error) {
	if err := connection.SetDeadline(deadline); err != nil {
		return false, err
	}
	if err := c.write(connection, request); err != nil {
		return false, err
	}
	reader := c.control.AcquireReader(connection)
	defer c.control.ReleaseReader(reader)
	if err := answerhead.ReadFinal(reader, &response.Header); err != nil {
		return false, err
	}
	if !isBodiless(response.StatusCode()) {
		if err := response.ReadBody(reader, c.control.MaxResponseBodySize); err != nil {
			return false, err
		}
		if response.Header.ContentLength() == lengthChunked {
			if err := answerhead.ReadTrailers(reader, &response.Header); err != nil {
				return false, err
			}
		}
	}
	return !response.ConnectionClose() && reader.Buffered() == 0, nil
}
