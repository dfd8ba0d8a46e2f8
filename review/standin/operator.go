package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// call sends a call to one control address. It follows redirects and gives up after a second.
func call(address, path string, body []byte) (int, []byte, error) {
	return callWith(nil, address, path, body)
}

// callOnce is like call, but does not follow redirects.
func callOnce(address, path string, body []byte) (int, []byte, error) {
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return callWith(stay, address, path, body)
}

func callWith(redirect func(*http.Request, []*http.Request) error, address, path string, body []byte) (int, []byte, error) {
	client := http.Client{Timeout: time.Second, CheckRedirect: redirect, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// configure sends a change of the configuration again and again until it is acknowledged.
func (f *fleet) configure(ctx context.Context, body string) error {
	for index := 0; ; index++ {
		status, answer, err := call(f.controlAddress(index%controllerCount), "/v1/items", []byte(body))
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status >= 400 && status < 500:
			return errors.New("the configuration was refused: " + string(answer))
		}
		select {
		case <-ctx.Done():
			return errors.New("the configuration was not acknowledged in time")
		case <-time.After(100 * time.Millisecond):
		}
	}
}
