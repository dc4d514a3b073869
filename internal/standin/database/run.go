package database

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// run is one life of a server, from Start or Restart to Kill.
type run struct {
	server   *Server
	listener net.Listener
	slots    chan struct{}
	ctx      context.Context // ends with Kill
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu       sync.Mutex // protects the fields below
	nextPID  uint32
	sessions map[uint32]*session   // by process id
	open     map[*guardedConn]bool // every accepted connection, true once replication
}

func newRun(server *Server, address string) (*run, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &run{
		server:   server,
		listener: listener,
		slots:    make(chan struct{}, server.options.Slots),
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[uint32]*session),
		open:     make(map[*guardedConn]bool),
	}, nil
}

func (r *run) start() {
	r.tasks.Go(r.acceptForever)
	r.tasks.Go(r.replicateForever)
}

// stop closes the listener and all connections and waits for all goroutines.
func (r *run) stop() {
	r.cancel()
	r.listener.Close()
	r.mu.Lock()
	for connection := range r.open {
		connection.drop()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

func (r *run) acceptForever() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		connection := newGuardedConn(accepted, r.server.gate, r.ctx.Done())
		r.mu.Lock()
		r.open[connection] = false
		ended := r.ctx.Err() != nil
		r.mu.Unlock()
		if ended {
			connection.drop()
			return
		}
		r.tasks.Go(func() {
			r.serve(connection)
			connection.drop()
			r.mu.Lock()
			delete(r.open, connection)
			r.mu.Unlock()
		})
	}
}

// serve answers the startup of one connection and then runs what it asks for.
func (r *run) serve(connection *guardedConn) {
	backend := pgproto3.NewBackend(connection, connection)
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

func (r *run) serveSession(connection *guardedConn, backend *pgproto3.Backend, parameters map[string]string) {
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

// admit gives the session a process id unless all connections are taken.
func (r *run) admit(client *session) bool {
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

func (r *run) remove(client *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, client.pid)
}

func (r *run) cancelSession(request *pgproto3.CancelRequest) {
	r.mu.Lock()
	client := r.sessions[request.ProcessID]
	r.mu.Unlock()
	if client != nil && string(client.secret) == string(request.SecretKey) {
		client.cancelStatement()
	}
}

func (r *run) markReplication(connection *guardedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[connection] = true
}

func (r *run) silenceConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection, replication := range r.open {
		if !replication {
			connection.silence(silencedTimeout)
		}
	}
}

// takeSlot waits for a slot and then holds it for the statement time. The
// caller releases it.
func (r *run) takeSlot(ctx context.Context) (release func(), err error) {
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
