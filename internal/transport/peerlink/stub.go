package peerlink

import (
	"context"
	"errors"
	"net"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/rs/zerolog"
)

type ClientOptions struct {
	Self      state.Instance
	Keys      *peerproto.KeyRing
	OnLeaving func(state.InstanceID, state.Incarnation)
	Logger    zerolog.Logger
}
type Client struct{}

func NewClient(ClientOptions) *Client { return &Client{} }
func (*Client) Open(context.Context, state.Instance, execution.OpenRequest) (execution.Stream, error) {
	return nil, errors.New("x")
}
func (*Client) Call(context.Context, state.Instance, string, any, any) error { return errors.New("x") }
func (*Client) Snapshot() any                                                { return nil }
func (*Client) Close()                                                       {}

type ServerOptions struct {
	Self   state.Instance
	Keys   *peerproto.KeyRing
	Logger zerolog.Logger
}
type Server struct{}
type Handler interface {
	execution.Executor
	HandleCall(ctx context.Context, from state.InstanceID, method string, body []byte) (any, error)
}

func NewServer(ServerOptions, Handler) *Server       { return &Server{} }
func (*Server) Serve(net.Listener) error             { return nil }
func (*Server) Shutdown(context.Context) error       { return nil }
