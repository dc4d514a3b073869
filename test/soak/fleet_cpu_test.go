package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// cpuShare limits a process to a share of a core from outside, and suspends it for
// faults.
type cpuShare struct {
	mu        sync.Mutex
	suspended int
	limited   bool
	stopped   chan struct{}
	once      sync.Once
}

const (
	cpuPeriod = 100 * time.Millisecond
	cpuShared = 60 * time.Millisecond // running time in each period
)

// limit begins to let the instance run for cpuShared of each cpuPeriod.
func (c *cpuShare) limit(i *instance, random *rand.Rand) {
	c.stopped = make(chan struct{})
	go func() {
		time.Sleep(time.Duration(random.Int64N(int64(cpuPeriod))))
		for {
			select {
			case <-c.stopped:
				return
			case <-time.After(cpuShared):
			}
			c.setLimited(i, true)
			time.Sleep(cpuPeriod - cpuShared)
			c.setLimited(i, false)
		}
	}()
}

func (c *cpuShare) stop() {
	if c.stopped != nil {
		c.once.Do(func() { close(c.stopped) })
	}
}

func (c *cpuShare) setLimited(i *instance, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limited = limited
	c.apply(i)
}

// suspend begins or ends a suspension. The process runs again when all have ended.
func (c *cpuShare) suspend(i *instance, suspended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if suspended {
		c.suspended++
	} else {
		c.suspended--
	}
	c.apply(i)
}

func (c *cpuShare) apply(i *instance) {
	if c.limited || c.suspended > 0 {
		i.signal(syscall.SIGSTOP)
	} else {
		i.signal(syscall.SIGCONT)
	}
}
