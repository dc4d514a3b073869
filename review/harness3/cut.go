package main

import (
	"net"
	"sync"
)

// cutProxy forwards connections to a target. While it is cut, nothing passes in either
// direction; what was sent meanwhile arrives when the cut has ended.
type cutProxy struct {
	listener net.Listener
	target   string

	mu  sync.Mutex
	end chan struct{}
}

func newCutProxy(target string) (*cutProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &cutProxy{listener: listener, target: target}
	go p.serve()
	return p, nil
}

func (p *cutProxy) address() string { return p.listener.Addr().String() }

// cut begins or ends the cut.
func (p *cutProxy) cut(active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if active && p.end == nil {
		p.end = make(chan struct{})
	}
	if !active && p.end != nil {
		close(p.end)
		p.end = nil
	}
}

// await returns once there is no cut.
func (p *cutProxy) await() {
	for {
		p.mu.Lock()
		end := p.end
		p.mu.Unlock()
		if end == nil {
			return
		}
		<-end
	}
}

func (p *cutProxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(near)
	}
}

func (p *cutProxy) forward(near net.Conn) {
	defer near.Close()
	p.await()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer far.Close()
	var both sync.WaitGroup
	both.Go(func() { p.carry(far, near) })
	both.Go(func() { p.carry(near, far) })
	both.Wait()
}

func (p *cutProxy) carry(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
