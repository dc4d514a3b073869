package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// proxy carries the connections from one machine to one address. While it is cut it
// behaves like a partition: nothing passes, open connections stay open, and what is sent
// on them arrives after the cut, also if the sender has closed its end meanwhile, but
// not if the sender has reset it. Connections opened during the cut get nothing through.
type proxy struct {
	address string
	target  string

	mu     sync.Mutex
	healed chan struct{} // nil while the link is not cut
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(conn)
		}
	}()
	return p, nil
}

// cut starts a partition.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

// heal ends the partition.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// passage returns a channel that is closed when the link carries data, nil if it does
// now.
func (p *proxy) passage() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

func (p *proxy) carry(from net.Conn) {
	defer from.Close()
	if p.passage() != nil {
		_, _ = io.Copy(io.Discard, from) // its first packet is lost
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from) })
	both.Go(func() { p.copy(from, to) })
	both.Wait()
}

// copy carries one direction until its sender closes.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if errors.Is(err, syscall.ECONNRESET) {
			_ = to.Close()
			return
		}
		if healed := p.passage(); healed != nil {
			if reset := p.awaitHealed(from, healed); reset {
				_ = to.Close()
				return
			}
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// awaitHealed waits for the end of a partition and reports whether the sender has reset
// the connection meanwhile.
func (p *proxy) awaitHealed(from net.Conn, healed <-chan struct{}) (reset bool) {
	<-healed
	return socketError(from) != nil
}

// socketError returns the pending error of a connection.
func socketError(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var pending int
	if err := raw.Control(func(descriptor uintptr) {
		pending, err = syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_ERROR)
	}); err != nil {
		return err
	}
	if pending != 0 {
		return syscall.Errno(pending)
	}
	return nil
}
