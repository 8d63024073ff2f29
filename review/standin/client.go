package main

import (
	"io"
	"net/http"
)

// send sends one request of a client to a host and returns its status, 0 if there is no answer, and id.
func (f *fleet) send(h *host, method, path, key string) (status int, id string) {
	id = newID()
	req, err := http.NewRequest(method, "http://"+addr(h.ip, portFrontend)+path, nil)
	if err != nil {
		couldNotRun("%v", err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		f.rec.log("client: %s %s as %s to %s: %v", method, path, id, h.name, err)
		return 0, id
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	f.rec.log("client: %s %s as %s to %s: %d %q %v", method, path, id, h.name, resp.StatusCode, body, err)
	return resp.StatusCode, id
}
