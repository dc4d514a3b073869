package rowstore

import "context"

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
