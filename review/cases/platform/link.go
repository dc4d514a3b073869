package main

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// machineLink is the way of one machine to the platform. While it is cut, nothing passes;
// what was on the way arrives after that, unless its sender has reset the connection.
type machineLink struct {
	record *record
	name   string

	mu     sync.Mutex
	healed chan struct{}
	// onPromotion is called once, when a promotion call is on its way; nil for never.
	onPromotion func()
}

// serve forwards connections that are opened on address to the platform's target.
func (l *machineLink) serve(address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(client, target)
		}
	}()
	return nil
}

func (l *machineLink) forward(client net.Conn, target string) {
	defer client.Close()
	if healed := l.cut(); healed != nil {
		// The opening packet is lost.
		<-healed
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	go l.pump(client, server)
	l.pump(server, client)
}

// pump copies one way.
func (l *machineLink) pump(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.notice(buffer[:n])
			if healed := l.cut(); healed != nil {
				<-healed
				if wasReset(from) {
					return
				}
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wasReset reports whether the other side has reset a connection.
func wasReset(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = control.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reset = errors.Is(peekErr, syscall.ECONNRESET)
	})
	return err != nil || reset
}

// notice calls onPromotion for the first promotion call.
func (l *machineLink) notice(text []byte) {
	if !bytes.HasPrefix(text, []byte("POST /promote")) {
		return
	}
	l.mu.Lock()
	call := l.onPromotion
	l.onPromotion = nil
	l.mu.Unlock()
	if call != nil {
		call()
	}
}

// cut returns a channel that is closed when the link is healed, nil if it is not cut.
func (l *machineLink) cut() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

// cutFor cuts the link for a while.
func (l *machineLink) cutFor(limit time.Duration) {
	healed := make(chan struct{})
	l.mu.Lock()
	l.healed = healed
	l.mu.Unlock()
	l.record.line("%s is cut off from the platform, with its promotion call on the way", l.name)
	time.AfterFunc(limit, func() {
		l.mu.Lock()
		l.healed = nil
		l.mu.Unlock()
		close(healed)
		l.record.line("%s reaches the platform again", l.name)
	})
}

// whenPromoting sets what is called when the first promotion call is on its way.
func (l *machineLink) whenPromoting(call func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onPromotion = call
}
