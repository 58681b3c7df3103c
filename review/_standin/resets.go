package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards the connections to a worker. It can reset those that are open; new ones work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     map[*net.TCPConn]bool
}

func startProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: map[*net.TCPConn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) forward(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	p.mu.Lock()
	p.open[conn] = true
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(server, conn)
		_ = server.Close()
	}()
	_, _ = io.Copy(conn, server)
	p.mu.Lock()
	delete(p.open, conn)
	p.mu.Unlock()
}

// resetOpen resets the open connections and returns their number.
func (p *proxy) resetOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := len(p.open)
	for conn := range p.open {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		delete(p.open, conn)
	}
	return count
}

// resetConnections: all processes are killed and started again (the final fault). Later, the connections that are open
// between the front VMs and the workers are reset a few times, while a client asks for the state of a booking. All workers
// go on, and new connections work. From recover_s on, a quarter of the requests must be served.
func resetConnections(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return exitCannot, err
	}
	defer f.close()
	for i := 1; i <= 3; i++ {
		f.add("control", i)
	}
	for i := 1; i <= 3; i++ {
		f.add("front", i)
	}
	if err := f.startAll(true); err != nil {
		return exitCannot, err
	}
	var proxies []*proxy
	for i := 1; i <= 3; i++ {
		w, err := newWorker(f, fmt.Sprintf("i-%08x", 0xa0+i), "berth", i, 400*time.Millisecond)
		if err != nil {
			return exitCannot, err
		}
		p, err := startProxy(f.ip(4, i), w.address)
		if err != nil {
			return exitCannot, err
		}
		w.address = p.listener.Addr().String()
		go w.beat()
		proxies = append(proxies, p)
	}
	if !f.postAny("/v1/config/put", plainConfig(), 10*time.Second) || !f.waitReady(10*time.Second) {
		return exitCannot, errors.New("the system did not start")
	}
	r.add("configuration 3 acknowledged, all front VMs ready")
	time.Sleep(2 * time.Second)
	before := load(f, r, "b", "h.example", "/check/x", 5*time.Second)
	r.add("before the final fault: %d of %d requests served, statuses %v", before.served, before.sent, before.statuses)
	if before.served*4 < before.sent {
		return exitCannot, errors.New("less than a quarter was served before the final fault")
	}
	r.add("final fault: SIGKILL of all processes")
	f.killAll()
	time.Sleep(500 * time.Millisecond)
	if err := f.startAll(false); err != nil {
		return exitCannot, err
	}
	back := time.Now()
	r.add("all processes started again")
	time.Sleep(4 * time.Second)
	for i := range 6 {
		front := f.machinesOf("front")[i%3] // retries reach other nodes
		id := fmt.Sprintf("r%06d", i)
		done := make(chan answer, 1)
		go func() { done <- send(front, id, "h.example", "/check/x", "body", 4*time.Second) }()
		if trouble {
			time.Sleep(170 * time.Millisecond)
			count := 0
			for _, p := range proxies {
				count += p.resetOpen()
			}
			r.add("%d open connections to workers are reset", count)
		}
		got := <-done
		r.add("request %s to %s: status %d", id, front.name, got.status)
		time.Sleep(300 * time.Millisecond)
	}
	r.add("no further reset")
	time.Sleep(time.Until(back.Add(12 * time.Second)))
	after := load(f, r, "a", "h.example", "/check/x", 15*time.Second)
	r.add("from 12 s after the machines were back: %d of %d requests served, statuses %v", after.served, after.sent, after.statuses)
	if after.served*4 < after.sent {
		r.add("RECOVER is broken")
		return exitBroken, nil
	}
	r.add("RECOVER held")
	return exitHeld, nil
}
