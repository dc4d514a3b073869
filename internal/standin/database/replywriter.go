package database

import (
	"bytes"
	"io"
	"sync/atomic"
)

// ReplyRepeat says whether a database sends its replies twice, and when it sends
// the repeat.
type ReplyRepeat int32

const (
	// RepeatNever is the default.
	RepeatNever ReplyRepeat = iota
	// RepeatAtOnce sends each reply twice in succession.
	RepeatAtOnce
	// RepeatLate sends each reply again before the next reply on its connection,
	// when the next statement is outstanding.
	RepeatLate
)

// SetReplyRepeat sets whether replies are sent twice, on all connections.
func (s *Server) SetReplyRepeat(repeat ReplyRepeat) {
	s.replyRepeat.Store(int32(repeat))
}

// replyWriter writes the replies of one session. Each Write is one whole reply.
// The reply to the startup message is not repeated.
type replyWriter struct {
	connection io.Writer
	repeat     *atomic.Int32
	started    bool
	previous   []byte // the reply to repeat before the next one, or empty
}

// Write implements io.Writer.
func (w *replyWriter) Write(reply []byte) (int, error) {
	data := reply
	if len(w.previous) > 0 {
		data = append(w.previous, reply...)
		w.previous = nil
	}
	if w.started {
		switch ReplyRepeat(w.repeat.Load()) {
		case RepeatNever:
		case RepeatAtOnce:
			data = append(bytes.Clone(data), reply...)
		case RepeatLate:
			w.previous = bytes.Clone(reply)
		}
	}
	w.started = true
	if _, err := w.connection.Write(data); err != nil {
		return 0, err
	}
	return len(reply), nil
}
