package decktest

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// A PipeNetwork is a network of in-memory listeners whose connections are net.Pipe pairs, for use with testing/synctest; its
// zero value has no listeners.
type PipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     map[string]int
}

// Dial connects to the listener at the address; without one it returns ECONNREFUSED.
func (n *PipeNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	if n.dials == nil {
		n.dials = make(map[string]int)
	}
	n.dials[address]++
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns the number of dials to the address, including refused ones.
func (n *PipeNetwork) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// Listen returns a listener at the address, which replaces an earlier one.
func (n *PipeNetwork) Listen(address string) net.Listener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*pipeListener)
	}
	n.listeners[address] = l
	return l
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Addr() net.Addr {
	return pipeAddr(l.address)
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

type pipeAddr string

func (pipeAddr) Network() string { return "pipe" }

func (a pipeAddr) String() string { return string(a) }
