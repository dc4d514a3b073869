package admin

import "net/http"

func RequireToken(string, bool) func(http.Handler) http.Handler {
	return func(h http.Handler) http.Handler { return h }
}
