package backend

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
)

const (
	defaultConnectTimeout    = 2 * time.Second
	defaultMaxMessageBytes   = 64 << 20
	defaultKeepAliveIdle     = 5 * time.Second
	defaultKeepAliveInterval = 2 * time.Second
	defaultKeepAliveCount    = 3
	defaultUserTimeout       = 10 * time.Second
	dialRetryAfter           = 50 * time.Millisecond
	stepDial                 = "dial backend"
	stepWrite                = "write to backend"
	stepReceive              = "receive from backend"
	stepCancel               = "cancel at backend"
	defaultApplicationName   = "cyclamenpin"
	settingApplicationName   = "application_name"
	baseConnectionSettings   = "host=127.0.0.1 port=5432 user=x sslmode=disable passfile=/dev/null connect_timeout=0"
)

// Dialer opens connections to databases. For each field but User, the zero value
// stands for a default. It may be used by several goroutines at once.
type Dialer struct {
	User     string
	Password string
	// DatabaseName is the name sent at startup; empty means the user's name.
	DatabaseName string
	// ConnectTimeout bounds a whole dial; 0 means 2 s.
	ConnectTimeout time.Duration
	// MaxMessageBytes limits the size of one message from a database; 0 means
	// 64 MiB.
	MaxMessageBytes int
	// DialFunc replaces dialling over TCP, for tests and other networks.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
	// KeepAlive configures TCP keepalive; the zero value means probes after
	// 5 s of silence, every 2 s, at most 3.
	KeepAlive net.KeepAliveConfig
	// UserTimeout is how long sent data may stay unacknowledged by the
	// database's machine (TCP_USER_TIMEOUT), on systems that support such a
	// limit; 0 means 10 s.
	UserTimeout time.Duration
}

// Dial opens a connection. An empty user stands for the Dialer's User. The error
// is a *state.Failure with OutcomeNotRun. It wraps the cause, so errors.Is finds
// syscall.ECONNREFUSED.
func (d *Dialer) Dial(ctx context.Context, database state.Database, user string) (*Conn, error) {
	connection, err := d.dial(ctx, database, user, initialBufferSize)
	if err != nil {
		return nil, state.NotRun(state.ReasonUnreachable, stepDial, database.Address, dialRetryAfter, err)
	}
	return connection, nil
}

// dial opens a connection with a receive buffer of bufferBytes.
func (d *Dialer) dial(ctx context.Context, database state.Database, user string, bufferBytes int) (*Conn, error) {
	connected, err := d.connect(ctx, database.Address, user)
	if err != nil {
		return nil, err
	}
	hijacked, err := connected.Hijack()
	if err != nil {
		_ = connected.Close(ctx)
		return nil, err
	}
	return newConn(d, database, hijacked, bufferBytes), nil
}

// connect opens a connection with pgconn.
func (d *Dialer) connect(ctx context.Context, address, user string) (*pgconn.PgConn, error) {
	config, err := d.config(address, user)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(d.ConnectTimeout, defaultConnectTimeout))
	defer cancel()
	return pgconn.ConnectConfig(ctx, config)
}

func (d *Dialer) config(address, user string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", address)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, eris.Wrapf(err, "address %q: port", address)
	}
	config, err := pgconn.ParseConfig(baseConnectionSettings)
	if err != nil {
		return nil, eris.Wrap(err, "connection settings")
	}
	config.Host, config.Port = host, uint16(port)
	config.User, config.Password = orDefault(user, d.User), d.Password
	config.Database = orDefault(d.DatabaseName, config.User)
	config.RuntimeParams = map[string]string{settingApplicationName: defaultApplicationName}
	config.TLSConfig, config.Fallbacks = nil, nil
	config.ValidateConnect, config.AfterConnect = nil, nil
	config.DialFunc = d.dialTCP
	return config, nil
}

// dialTCP opens a TCP connection with keepalive and a user timeout, or calls
// DialFunc if it is set.
func (d *Dialer) dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	if d.DialFunc != nil {
		return d.DialFunc(ctx, network, address)
	}
	keepAlive := d.KeepAlive
	if keepAlive == (net.KeepAliveConfig{}) {
		keepAlive = net.KeepAliveConfig{
			Enable:   true,
			Idle:     defaultKeepAliveIdle,
			Interval: defaultKeepAliveInterval,
			Count:    defaultKeepAliveCount,
		}
	}
	dialer := net.Dialer{
		Timeout:         orDefault(d.ConnectTimeout, defaultConnectTimeout),
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return socket.SetRawUserTimeout(raw, orDefault(d.UserTimeout, defaultUserTimeout))
		},
	}
	return dialer.DialContext(ctx, network, address)
}

func (d *Dialer) maxMessageBytes() int {
	return orDefault(d.MaxMessageBytes, defaultMaxMessageBytes)
}

// orDefault returns value, or fallback if value is the zero value.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
