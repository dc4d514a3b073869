package main

import (
	"net"
	"sync"
)

// storeLink forwards a machine's connections to the store.
type storeLink struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// end is closed when a cut ends; nil if there is none.
	end chan struct{}
}

func newStoreLink(target string) (*storeLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &storeLink{listener: listener, target: target}
	go l.serve()
	return l, nil
}

func (l *storeLink) address() string { return l.listener.Addr().String() }

// cut begins or ends a cut: nothing passes in either direction, and what was sent
// meanwhile arrives when the cut has ended.
func (l *storeLink) cut(active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if active && l.end == nil {
		l.end = make(chan struct{})
	}
	if !active && l.end != nil {
		close(l.end)
		l.end = nil
	}
}

// await returns once there is no cut.
func (l *storeLink) await() {
	for {
		l.mu.Lock()
		end := l.end
		l.mu.Unlock()
		if end == nil {
			return
		}
		<-end
	}
}

func (l *storeLink) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

func (l *storeLink) forward(near net.Conn) {
	defer func() { _ = near.Close() }()
	l.await()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	var both sync.WaitGroup
	both.Go(func() { l.carry(far, near) })
	both.Go(func() { l.carry(near, far) })
	both.Wait()
}

// carry copies one direction of a connection until it ends.
func (l *storeLink) carry(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
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
