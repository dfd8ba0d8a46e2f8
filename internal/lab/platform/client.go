package platform

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/thorntiller/thorntiller/internal/lab/httpclient"
	"github.com/thorntiller/thorntiller/internal/platformapi"
)

// Client reads and changes the list of one platform.
type Client struct {
	address string
	timeout time.Duration
	client  *fasthttp.Client
}

// NewClient returns a client of the platform at address, IP:port. Each call
// fails after timeout.
func NewClient(address string, timeout time.Duration) *Client {
	client := httpclient.New()
	client.MaxIdemponentCallAttempts = 1
	return &Client{address: address, timeout: timeout, client: client}
}

// Machines reads the list.
func (c *Client) Machines() (platformapi.MachineList, error) {
	body, err := c.do(fasthttp.MethodGet, nil, fasthttp.StatusOK)
	if err != nil {
		return nil, err
	}
	var machines platformapi.MachineList
	err = json.Unmarshal(body, &machines)
	return machines, eris.Wrap(err, "decode machine list")
}

// Change adds or changes one machine.
func (c *Client) Change(machine platformapi.Machine) error {
	encoded, err := json.Marshal(machine)
	if err != nil {
		return eris.Wrap(err, "encode machine")
	}
	_, err = c.do(fasthttp.MethodPost, encoded, fasthttp.StatusNoContent)
	return err
}

func (c *Client) do(method string, body []byte, want int) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + platformapi.PathMachines)
	request.SetBody(body)
	if err := c.client.DoTimeout(request, response, c.timeout); err != nil {
		return nil, eris.Wrapf(err, "%s %s at %s", method, platformapi.PathMachines, c.address)
	}
	if status := response.StatusCode(); status != want {
		return nil, eris.Errorf("%s %s at %s: status %d: %s", method, platformapi.PathMachines, c.address, status, response.Body())
	}
	return append([]byte{}, response.Body()...), nil
}
