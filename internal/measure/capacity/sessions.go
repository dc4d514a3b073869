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

// maxSessions of the measurement, and the share of the limit of open files that
// it may use: each session has two in this process.
const (
	maxSessions       = 4000
	filesForEach      = 2
	shareOfOpenFiles  = 2.5
	connectsAtOnce    = 16
	smallestOfThree   = 8
	middleOfThree     = 3
	clientsHalfOfPair = 2
)

// measureSessions measures idle client sessions. The clients' own ends are in
// the process too; what two bare ends of a TCP connection take is measured
// beside, and half of it is the client's.
func measureSessions(ctx context.Context, report *Report) error {
	largest, err := sessionsAllowed()
	if err != nil {
		return err
	}
	sizes := []int{largest / smallestOfThree, largest / middleOfThree, largest}
	series := func(name, unit string) Series {
		return Series{Section: "sessions", Name: name, Unit: unit, Per: "sessions", Target: targetSessions}
	}
	memory := series("memory of idle sessions, client's half taken off", "bytes")
	goroutines := series("goroutines of idle sessions", "goroutines")
	pairs := series("memory of bare TCP connections, both ends", "bytes")
	for _, size := range sizes {
		pair, err := pairMemory(size)
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
	var opened heldConns
	defer opened.close()
	for at, size := range sizes {
		if err := i.openSessions(ctx, &opened, size); err != nil {
			return err
		}
		clients := pairs.Points[at].Value / clientsHalfOfPair
		memory.Points = append(memory.Points, Point{float64(size), liveBytes() - memoryBefore - clients})
		goroutines.Points = append(goroutines.Points, Point{float64(size), float64(runtime.NumGoroutine() - goroutinesBefore)})
	}
	return addAll(report, memory, goroutines, pairs)
}

// sessionsAllowed returns how many sessions stay well within the limit of open
// files.
func sessionsAllowed() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, eris.Wrap(err, "read the limit of open files")
	}
	return min(maxSessions, int(float64(limit.Cur)/shareOfOpenFiles/filesForEach)), nil
}

// heldConns are connections that stay open until close.
type heldConns struct {
	mu    sync.Mutex // protects conns
	conns []net.Conn
}

func (h *heldConns) add(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns = append(h.conns, conn)
}

func (h *heldConns) close() {
	for _, conn := range h.conns {
		conn.Close()
	}
}

// openSessions opens sessions until there are count. Only the TCP connection
// of each client is kept.
func (i *installation) openSessions(ctx context.Context, opened *heldConns, count int) error {
	var running errgroup.Group
	running.SetLimit(connectsAtOnce)
	for range count - len(opened.conns) {
		running.Go(func() error {
			client, err := i.connect(ctx, i.owner)
			if err != nil {
				return err
			}
			hijacked, err := client.Hijack()
			if err != nil {
				return eris.Wrap(err, "take over the connection")
			}
			opened.add(hijacked.Conn)
			return nil
		})
	}
	return running.Wait()
}

// pairMemory returns the memory of count TCP connections with both ends in this
// process, which nobody reads.
func pairMemory(count int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, eris.Wrap(err, "listen")
	}
	defer listener.Close()
	var held heldConns
	defer held.close()
	held.conns = make([]net.Conn, 0, filesForEach*count)
	before := liveBytes()
	for range count {
		near, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return 0, eris.Wrap(err, "dial")
		}
		held.conns = append(held.conns, near)
		far, err := listener.Accept()
		if err != nil {
			return 0, eris.Wrap(err, "accept")
		}
		held.conns = append(held.conns, far)
	}
	return liveBytes() - before, nil
}
