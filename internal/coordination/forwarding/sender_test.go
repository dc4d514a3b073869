package forwarding

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// fakeLinks answers the calls to each address and counts them.
type fakeLinks struct {
	answers map[string]Answer
	errs    map[string]error
	calls   []string
	closed  int
	opened  int
}

func (l *fakeLinks) Open(_ context.Context, address string) (Stream, error) {
	l.opened++
	if errors.Is(l.errs[address], errDial) {
		return nil, errDial
	}
	return &fakeStream{l, address}, nil
}

var errDial = errors.New("connection refused")

type fakeStream struct {
	links   *fakeLinks
	address string
}

func (s *fakeStream) Call(Call, time.Time) (Answer, error) {
	s.links.calls = append(s.links.calls, s.address)
	return s.links.answers[s.address], s.links.errs[s.address]
}
func (s *fakeStream) Close() { s.links.closed++ }

type fakePlacement struct{}

func (fakePlacement) Of(state.Server) placement.Placement {
	return placement.Placement{Holders: []placement.Instance{{Name: "h1", Address: "one"}, {Name: "h2", Address: "two"}, {Name: "h3", Address: "three"}}}
}

type noDirectory struct{}

func (noDirectory) Server(state.GroupID, state.DatabaseID) (directory.Entry, bool) {
	return directory.Entry{}, false
}

// newSender returns a sender whose first and second holder are "one" and "two" in the
// order in which it tries them.
func newSender(links *fakeLinks) (sender *Sender, first, second string) {
	sender = NewSender(SenderConfig{
		Self: "self", Placement: fakePlacement{}, Links: links, Log: zerolog.Nop(),
		Local: func() *Holder { return NewHolder(HolderConfig{Directory: noDirectory{}}) },
	})
	order := sender.holders(state.Server{}, "")
	return sender, order[0].Address, order[1].Address
}

func runOne(sender *Sender) (state.Reply, error) {
	conn := sender.Open(state.Server{}, pooling.Request{}, time.Now().Add(time.Second))
	return conn.Run(pooling.Statement{ID: "s", Text: "WRITE k v"}, time.Now().Add(time.Second), nil)
}

// Holders refuse, are out of reach, or are lost with a statement in hand. Only what
// was surely not sent goes to one other holder, and only that is reported as unsent.
func TestSenderTriesOneOtherHolder(t *testing.T) {
	done := Answer{Reply: state.Reply{Proof: "p"}}
	for name, c := range map[string]struct {
		first, second       Answer
		firstErr, secondErr error
		calls               int
		unsent, done        bool
	}{
		"answered":               {first: done, calls: 1, done: true},
		"ranks differently":      {first: Answer{Refusal: RefusedNotHolder}, second: done, calls: 2, done: true},
		"no holder by both":      {first: Answer{Refusal: RefusedNotHolder}, second: Answer{Refusal: RefusedNotHolder}, calls: 2, unsent: true},
		"stopping":               {first: Answer{Refusal: RefusedStopping}, second: done, calls: 2, done: true},
		"full, then free":        {first: Answer{Refusal: RefusedNoConnection}, second: done, calls: 2, done: true},
		"database lost":          {first: Answer{Refusal: RefusedLost}, second: done, calls: 1},
		"link lost":              {firstErr: ErrLinkLost, second: done, calls: 1},
		"not written":            {firstErr: ErrNotWritten, second: done, calls: 2, done: true},
		"not reached":            {firstErr: errDial, second: done, calls: 1, done: true},
		"neither reached":        {firstErr: errDial, secondErr: errDial, unsent: true},
		"not reached, then lost": {firstErr: errDial, secondErr: ErrLinkLost, calls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			links := &fakeLinks{answers: make(map[string]Answer), errs: make(map[string]error)}
			sender, first, second := newSender(links)
			links.answers[first], links.answers[second] = c.first, c.second
			links.errs[first], links.errs[second] = c.firstErr, c.secondErr
			reply, err := runOne(sender)
			require.Len(t, links.calls, c.calls)
			require.Equal(t, c.done, err == nil, "%v", err)
			require.Equal(t, c.unsent, pooling.NotSent(err), "%v", err)
			if c.done {
				require.Equal(t, "p", reply.Proof)
			}
		})
	}
}

// A holder that is stopping, lost or out of reach is passed over for a while, so that
// the next statements lose no time with it.
func TestLostHolderIsAvoided(t *testing.T) {
	for _, err := range []error{errDial, ErrLinkLost} {
		links := &fakeLinks{answers: make(map[string]Answer), errs: make(map[string]error)}
		sender, first, second := newSender(links)
		links.errs[first] = err
		_, _ = runOne(sender)
		links.calls = nil
		_, err := runOne(sender)
		require.NoError(t, err)
		require.Equal(t, []string{second}, links.calls)
	}
}

// All holders are cut off from a sender. It loses no further time with them, and tries
// one again later.
func TestUnreachableHoldersCostNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := &fakeLinks{answers: make(map[string]Answer), errs: map[string]error{"one": errDial, "two": errDial, "three": errDial}}
		sender, _, _ := newSender(links)
		for _, opened := range []int{2, 3, 3, 3} {
			_, err := runOne(sender)
			require.True(t, pooling.NotSent(err))
			require.Equal(t, opened, links.opened)
		}
		time.Sleep(avoidTime)
		_, _ = runOne(sender)
		require.Greater(t, links.opened, 3)
		before := links.opened
		time.Sleep(avoidTime)
		_, _ = runOne(sender)
		require.Equal(t, before+1, links.opened, "the third one, the others are avoided for longer")
	})
}

// A grant is revoked while its statement is under way, or before it is sent.
func TestClosedConnectionSendsNothing(t *testing.T) {
	links := &fakeLinks{}
	sender, _, _ := newSender(links)
	conn := sender.Open(state.Server{}, pooling.Request{}, time.Now().Add(time.Second))
	conn.Close()
	_, err := conn.Run(pooling.Statement{ID: "s"}, time.Now().Add(time.Second), nil)
	require.Error(t, err)
	require.Empty(t, links.calls)
}
