package backend

import (
	"context"
	"sync"
	"time"
)

// aLongTimeAgo is a deadline that ends a blocked read or write at once.
var aLongTimeAgo = time.Unix(1, 0)

// deadlines applies contexts as deadlines to one direction of a connection.
// Repeated calls with the same context do not allocate.
type deadlines struct {
	set func(time.Time) error

	mu   sync.Mutex      // serialises set, which a cancelled context may call at any time
	ctx  context.Context // the current context; contexts must be comparable
	stop func() bool
}

// apply makes ctx the current context. It must be called before each read or
// write.
func (d *deadlines) apply(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == ctx {
		return nil
	}
	d.clearLocked()
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

// expire ends the operation that runs under ctx, unless another context has
// become the current one.
func (d *deadlines) expire(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == ctx {
		_ = d.set(aLongTimeAgo)
	}
}

// clear removes the current context.
func (d *deadlines) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clearLocked()
}

func (d *deadlines) clearLocked() {
	if d.stop != nil {
		d.stop()
	}
	d.ctx, d.stop = nil, nil
}
