package platformclient

import (
	"net/http"
	"sync"
)

// HTTP headers of conditional reads.
const (
	headerETag        = "ETag"
	headerIfNoneMatch = "If-None-Match"
)

// taggedResponse is the body of a response and its ETag.
type taggedResponse struct {
	tag  string
	body []byte
}

// responseCache holds the last response to each conditional request, so that
// the platform need not send unchanged data again. It has one entry for each
// such request: the list of instances and each scanned prefix.
type responseCache struct {
	mu      sync.Mutex // guards entries; no other lock is taken while it is held
	entries map[string]taggedResponse
}

// addTag sets If-None-Match on a conditional request that has a cached response.
func (r *responseCache) addTag(request call, header http.Header) {
	if !request.conditional {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if cached, found := r.entries[request.key()]; found {
		header.Set(headerIfNoneMatch, cached.tag)
	}
}

// lookup returns the cached body, and false if there is none.
func (r *responseCache) lookup(request call) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached, found := r.entries[request.key()]
	return cached.body, found
}

// store caches the body of a conditional request if the response has an ETag.
func (r *responseCache) store(request call, header http.Header, body []byte) {
	tag := header.Get(headerETag)
	if !request.conditional || tag == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = make(map[string]taggedResponse)
	}
	r.entries[request.key()] = taggedResponse{tag: tag, body: body}
}

// responseBody returns the body of a response, or the cached one if the platform
// reports that it has not changed.
func (c *Client) responseBody(request call, response *http.Response, body []byte) ([]byte, error) {
	switch response.StatusCode {
	case http.StatusOK:
		c.cache.store(request, response.Header, body)
		return body, nil
	case http.StatusNotModified:
		if cached, found := c.cache.lookup(request); found {
			return cached, nil
		}
		return nil, &StatusError{Status: response.StatusCode, Message: "nothing was held"}
	default:
		return nil, statusError(response.StatusCode, body)
	}
}
