package main

import (
	"context"
	"net"
	"sync"
	"time"
)

const dialTimeout = time.Second

// A delayProxy stands for the path between regions to one control VM: what is sent through it arrives after the one-way delay.
type delayProxy struct {
	to       string
	delay    time.Duration
	listener net.Listener
	group    sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newDelayProxy(addr, to string, delay time.Duration) (*delayProxy, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, err
	}
	p := &delayProxy{to: to, delay: delay, listener: l, conns: make(map[net.Conn]bool)}
	p.group.Go(p.accept)
	return p, nil
}

func (p *delayProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.forward(c) })
	}
}

func (p *delayProxy) forward(c net.Conn) {
	if !p.add(c) {
		p.remove(c)
		return
	}
	time.Sleep(p.delay)
	out, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp", p.to)
	if err != nil {
		p.remove(c)
		return
	}
	if !p.add(out) {
		p.remove(c)
		p.remove(out)
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.pump(c, out) })
	group.Go(func() { p.pump(out, c) })
	group.Wait()
}

// pump passes bytes on after the delay, and the end of the connection to both sides.
func (p *delayProxy) pump(from, to net.Conn) {
	type chunk struct {
		at   time.Time
		data []byte
	}
	queue := make(chan chunk, 1024)
	var group sync.WaitGroup
	group.Go(func() {
		for c := range queue {
			time.Sleep(time.Until(c.at))
			if _, err := to.Write(c.data); err != nil {
				_ = from.Close()
			}
		}
		p.remove(to)
		p.remove(from)
	})
	for {
		buf := make([]byte, 64<<10)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{time.Now().Add(p.delay), buf[:n]}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	group.Wait()
}

func (p *delayProxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return !p.closed
}

func (p *delayProxy) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *delayProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.group.Wait()
}
