package backend

import (
	"context"
	"sync"
	"time"
)

// aLongTimeAgo is a deadline that ends a blocked read or write at once.
var aLongTimeAgo = time.Unix(1, 0)

// deadlines turns contexts into the deadlines of one direction of a
// connection. Repeated calls with one context cost no allocation.
type deadlines struct {
	set func(time.Time) error

	mu   sync.Mutex      // orders set, which cancellation may call at any moment
	ctx  context.Context // the context in force; contexts must be comparable
	stop func() bool
}

// use puts a context in force. The caller calls it before each operation.
func (d *deadlines) use(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == ctx {
		return nil
	}
	d.releaseLocked()
	deadline, _ := ctx.Deadline()
	if err := d.set(deadline); err != nil {
		return err
	}
	d.ctx = ctx
	if ctx.Done() != nil {
		d.stop = context.AfterFunc(ctx, func() { d.expire(ctx) })
	}
	return nil
}

// expire ends the operation that runs under ctx, unless another context is in
// force by now.
func (d *deadlines) expire(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == ctx {
		_ = d.set(aLongTimeAgo)
	}
}

// release forgets the context in force.
func (d *deadlines) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseLocked()
}

func (d *deadlines) releaseLocked() {
	if d.stop != nil {
		d.stop()
	}
	d.ctx, d.stop = nil, nil
}
