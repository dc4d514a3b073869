package rowstore

import (
	"context"
	"time"
)

type responseHook struct{}

// WithResponseHook returns a context for a call to a Store. The store calls hook
// when the response starts to arrive, which for a large response is long before
// the call returns.
func WithResponseHook(ctx context.Context, hook func()) context.Context {
	return context.WithValue(ctx, responseHook{}, hook)
}

// ResponseStarted calls the hook of a call's context, if there is one. Stores call
// it.
func ResponseStarted(ctx context.Context) {
	if hook, ok := ctx.Value(responseHook{}).(func()); ok {
		hook()
	}
}

type callTimeout struct{}

// WithCallTimeout returns a context for calls to a Store that may take longer than
// the store's usual limit. Unlike a deadline it doesn't include waits before the
// call.
func WithCallTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, callTimeout{}, timeout)
}

// CallTimeout returns the limit of a call, which is usual unless the caller allows
// another. Stores use it.
func CallTimeout(ctx context.Context, usual time.Duration) time.Duration {
	if timeout, ok := ctx.Value(callTimeout{}).(time.Duration); ok {
		return timeout
	}
	return usual
}
