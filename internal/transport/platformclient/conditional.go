package platformclient

import (
	"net/http"
	"sync"
)

// HTTP headers of conditional reads.
const (
	headerTag         = "ETag"
	headerIfNoneMatch = "If-None-Match"
)

// taggedAnswer is an answer and the tag that the platform gave it.
type taggedAnswer struct {
	tag  string
	body []byte
}

// polledAnswers holds the last answer to each polled request, so that the
// platform need not send again what has not changed. There are as many as there
// are polled requests: the list of instances and each scanned prefix.
type polledAnswers struct {
	mu   sync.Mutex // a leaf lock over held
	held map[string]taggedAnswer
}

// ask adds the tag of the answer held, if any, to a request.
func (p *polledAnswers) ask(request call, header http.Header) {
	if !request.polled {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer, found := p.held[request.key()]; found {
		header.Set(headerIfNoneMatch, answer.tag)
	}
}

// unchanged returns the answer held. It is false where none is.
func (p *polledAnswers) unchanged(request call) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer, found := p.held[request.key()]
	return answer.body, found
}

// keep holds an answer that has a tag.
func (p *polledAnswers) keep(request call, header http.Header, body []byte) {
	tag := header.Get(headerTag)
	if !request.polled || tag == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = make(map[string]taggedAnswer)
	}
	p.held[request.key()] = taggedAnswer{tag: tag, body: body}
}

// answer returns the body that a response stands for.
func (c *Client) answer(request call, response *http.Response, body []byte) ([]byte, error) {
	switch response.StatusCode {
	case http.StatusOK:
		c.polled.keep(request, response.Header, body)
		return body, nil
	case http.StatusNotModified:
		if held, found := c.polled.unchanged(request); found {
			return held, nil
		}
		return nil, &StatusError{Status: response.StatusCode, Message: "nothing was held"}
	default:
		return nil, statusError(response.StatusCode, body)
	}
}
