package database

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// serverRun is the state of a server between Start or Restart and Kill: its
// listener, connections and goroutines.
type serverRun struct {
	server   *Server
	listener net.Listener
	slots    chan struct{}
	ctx      context.Context // cancelled by stop
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu          sync.Mutex // protects the fields below
	nextPID     uint32
	sessions    map[uint32]*session // by process id
	connections map[*faultConn]bool // all accepted connections; true for replication
}

func newRun(server *Server, address string) (*serverRun, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &serverRun{
		server:      server,
		listener:    listener,
		slots:       make(chan struct{}, server.options.Slots),
		ctx:         ctx,
		cancel:      cancel,
		sessions:    make(map[uint32]*session),
		connections: make(map[*faultConn]bool),
	}, nil
}

func (r *serverRun) start() {
	r.tasks.Go(r.acceptLoop)
	r.tasks.Go(r.replicationLoop)
}

// stop closes the listener and all connections and waits for all goroutines.
func (r *serverRun) stop() {
	r.cancel()
	r.listener.Close()
	r.mu.Lock()
	for connection := range r.connections {
		connection.closeQuietly()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

func (r *serverRun) acceptLoop() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		connection := newFaultConn(accepted, r.server.gate, r.ctx.Done())
		r.mu.Lock()
		r.connections[connection] = false
		ended := r.ctx.Err() != nil
		r.mu.Unlock()
		if ended {
			connection.closeQuietly()
			return
		}
		r.tasks.Go(func() {
			r.serve(connection)
			connection.closeQuietly()
			r.mu.Lock()
			delete(r.connections, connection)
			r.mu.Unlock()
		})
	}
}

// serve handles the startup messages of one connection and then runs the session,
// the replication stream or the cancel request.
func (r *serverRun) serve(connection *faultConn) {
	backend := pgproto3.NewBackend(connection, &replyWriter{connection: connection, repeat: &r.server.replyRepeat})
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := connection.Write([]byte{'N'}); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			r.cancelSession(message)
			return
		case *pgproto3.StartupMessage:
			if message.Parameters[replicationParameter] == replicationProtocol {
				r.markReplication(connection)
				r.serveReplication(connection)
				return
			}
			r.serveSession(connection, backend, message.Parameters)
			return
		default:
			return
		}
	}
}

func (r *serverRun) serveSession(connection *faultConn, backend *pgproto3.Backend, parameters map[string]string) {
	if !pause(r.ctx, r.server.options.OpenDelay) {
		return
	}
	client := newSession(r, connection, backend, parameters)
	if !r.admit(client) {
		backend.Send(errorResponse(severityFatal, &sqlError{codeTooManyConnections, "sorry, too many clients already"}))
		_ = backend.Flush()
		return
	}
	defer r.remove(client)
	client.serve()
}

// admit registers the session under a new process id. It reports false if
// MaxConnections sessions are open.
func (r *serverRun) admit(client *session) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.sessions) >= r.server.options.MaxConnections {
		return false
	}
	r.nextPID++
	client.pid = r.nextPID
	r.sessions[client.pid] = client
	return true
}

func (r *serverRun) remove(client *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, client.pid)
}

func (r *serverRun) cancelSession(request *pgproto3.CancelRequest) {
	r.mu.Lock()
	client := r.sessions[request.ProcessID]
	r.mu.Unlock()
	if client != nil && string(client.secret) == string(request.SecretKey) {
		client.cancelStatement()
	}
}

func (r *serverRun) markReplication(connection *faultConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[connection] = true
}

func (r *serverRun) silenceConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection, replication := range r.connections {
		if !replication {
			connection.silence(silencedTimeout)
		}
	}
}

// acquireSlot waits for a slot and then sleeps for the statement time while it
// holds the slot. The caller must call release.
func (r *serverRun) acquireSlot(ctx context.Context) (release func(), err error) {
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, errCanceled()
	}
	release = func() { <-r.slots }
	if !pause(ctx, time.Duration(r.server.statementTime.Load())) || !r.server.gate.wait(ctx.Done()) {
		release()
		return nil, errCanceled()
	}
	return release, nil
}
