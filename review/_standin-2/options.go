package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { scenarios["options"] = optionsAsterisk }

// optionsAsterisk: beside the bookings, a client sends each front a request that no route matches, in the form OPTIONS *. Without a
// worker, no client may get a success.
func optionsAsterisk(c *cluster, trouble bool) (int, string) {
	desks, _, err := c.prepare(3, 0)
	if err != nil {
		return notRun, err.Error()
	}
	o := &outcomes{}
	end := c.load(20, booking, o.record(c))
	unsealed, sent := 0, 0
	for range 3 {
		time.Sleep(2 * time.Second)
		if !trouble {
			continue
		}
		for _, front := range c.fronts() {
			id := newID()
			status, sealed, err := c.sendAsterisk(front, id)
			sent++
			c.record.line("client: OPTIONS * with id %s at %s: status %d, seal %v, error %v", id, front.name, status, sealed, err)
			if err == nil && status/100 == 2 && !sealed {
				unsealed++
				c.record.line("MIXED: request %s got status %d without the signature of a worker", id, status)
			}
		}
	}
	end()
	ran := 0
	for _, w := range desks {
		ran += len(w.arrivalsAfter(time.Time{}))
	}
	verdict := fmt.Sprintf("%d of %d requests that no route matches got a success without a worker; workers ran %d requests; %v", unsealed, sent, ran, o)
	switch {
	case o.good < 60:
		return notRun, "too few requests were served: " + verdict
	case unsealed > 0:
		return broken, verdict
	}
	return held, verdict
}

// sendAsterisk sends OPTIONS * on a new connection.
func (c *cluster) sendAsterisk(front *machine, id string) (status int, sealed bool, err error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", front.ip, c.front), time.Second)
	if err != nil {
		return 0, false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprintf(conn, "OPTIONS * HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nCredential: %s\r\n\r\n", host, id, key)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("Response-Seal") != "", nil
}
