package capacity

import (
	"context"
	"net"
	"runtime"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Limits of the measurement. Both ends of each session are in this process and
// count towards its limit of open files.
const (
	maxSessions           = 4000
	filesPerConnection    = 2   // both ends are in this process
	openFileLimitDivisor  = 2.5 // sessions use at most the limit divided by this
	maxConcurrentConnects = 16
	smallestSizeDivisor   = 8 // smallest size: the largest divided by this
	middleSizeDivisor     = 3 // middle size: the largest divided by this
	endsPerConnection     = 2 // one of them is the client's
)

// measureSessions measures the memory and goroutines of idle client sessions. The
// clients' ends of the connections are in this process too. Their memory is
// subtracted: half of what bare TCP connections with both ends in this process
// use, which is measured first.
func measureSessions(ctx context.Context, report *Report) error {
	largest, err := sessionLimit()
	if err != nil {
		return err
	}
	sizes := []int{largest / smallestSizeDivisor, largest / middleSizeDivisor, largest}
	series := func(name, unit string) Series {
		return Series{Section: "sessions", Name: name, Unit: unit, Per: "sessions", Target: targetSessions}
	}
	memory := series("memory of idle sessions, client's half taken off", "bytes")
	goroutines := series("goroutines of idle sessions", "goroutines")
	pairs := series("memory of bare TCP connections, both ends", "bytes")
	for _, size := range sizes {
		pair, err := connectionPairMemory(size)
		if err != nil {
			return err
		}
		pairs.Points = append(pairs.Points, Point{float64(size), pair})
	}
	i, err := startInstallation(ctx, false)
	if err != nil {
		return err
	}
	defer i.close()
	memoryBefore, goroutinesBefore := liveBytes(), runtime.NumGoroutine()
	var opened openConns
	defer opened.close()
	for at, size := range sizes {
		if err := i.openSessions(ctx, &opened, size); err != nil {
			return err
		}
		clientMemory := pairs.Points[at].Value / endsPerConnection
		memory.Points = append(memory.Points, Point{float64(size), liveBytes() - memoryBefore - clientMemory})
		goroutines.Points = append(goroutines.Points, Point{float64(size), float64(runtime.NumGoroutine() - goroutinesBefore)})
	}
	return addAll(report, memory, goroutines, pairs)
}

// sessionLimit returns the largest number of sessions to open. It keeps the open
// files well below the process's limit.
func sessionLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, eris.Wrap(err, "read the limit of open files")
	}
	return min(maxSessions, int(float64(limit.Cur)/openFileLimitDivisor/filesPerConnection)), nil
}

// openConns holds connections that stay open until close is called.
type openConns struct {
	mu    sync.Mutex // protects conns
	conns []net.Conn
}

func (o *openConns) add(conn net.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns = append(o.conns, conn)
}

func (o *openConns) close() {
	for _, conn := range o.conns {
		conn.Close()
	}
}

// openSessions opens sessions until count are open. It keeps only the TCP
// connection of each client, not the client's buffers.
func (i *installation) openSessions(ctx context.Context, opened *openConns, count int) error {
	var running errgroup.Group
	running.SetLimit(maxConcurrentConnects)
	for range count - len(opened.conns) {
		running.Go(func() error {
			client, err := i.connect(ctx, i.owner)
			if err != nil {
				return err
			}
			hijacked, err := client.Hijack()
			if err != nil {
				return eris.Wrap(err, "hijack the client's connection")
			}
			opened.add(hijacked.Conn)
			return nil
		})
	}
	return running.Wait()
}

// connectionPairMemory returns the memory of count TCP connections with both ends
// in this process and no data sent.
func connectionPairMemory(count int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, eris.Wrap(err, "listen")
	}
	defer listener.Close()
	var opened openConns
	defer opened.close()
	opened.conns = make([]net.Conn, 0, filesPerConnection*count)
	before := liveBytes()
	for range count {
		near, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return 0, eris.Wrap(err, "dial")
		}
		opened.conns = append(opened.conns, near)
		far, err := listener.Accept()
		if err != nil {
			return 0, eris.Wrap(err, "accept")
		}
		opened.conns = append(opened.conns, far)
	}
	return liveBytes() - before, nil
}
