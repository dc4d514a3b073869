package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
)

// RequireToken returns a middleware that requires the bearer token. With
// loopbackExempt, requests from a loopback address need no token. If token is
// empty, all other requests are rejected.
func RequireToken(token string, loopbackExempt bool) func(http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if loopbackExempt && fromLoopback(r) {
				next.ServeHTTP(w, r)
				return
			}
			given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			sum := sha256.Sum256([]byte(given))
			if token == "" || !found || subtle.ConstantTimeCompare(sum[:], want[:]) != 1 {
				w.Header().Set("WWW-Authenticate", "Bearer")
				respond(w, http.StatusUnauthorized, ErrorResponse{Message: "the admin token is missing or wrong"})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func fromLoopback(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	address := net.ParseIP(host)
	return address != nil && address.IsLoopback()
}
