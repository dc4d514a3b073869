package today

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/standin/database"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// clientSession is one client session under some read policy.
type clientSession interface {
	write(ctx context.Context, id, version int64) error
	// read returns the version of a row that the session sees, or zero if there
	// is no such row, and the database that served the read, if known.
	read(ctx context.Context, id int64) (version int64, servedBy state.DatabaseID, err error)
	// switchInstance continues on another entry instance, without a session
	// token or other state of the session.
	switchInstance(ctx context.Context, instance int) error
	close()
}

// proxySession is a clientSession through the proxy.
type proxySession struct {
	in           *installation
	group        int
	maxStaleness string
	conn         *pgx.Conn
}

func (p *proxySession) open(ctx context.Context, instance int) error {
	conn, err := p.in.connect(ctx, instance, 0, p.group)
	if err != nil {
		return err
	}
	p.conn = conn
	if p.maxStaleness == "" {
		return nil
	}
	_, err = conn.Exec(ctx, "SET cyclamenpin.max_staleness = '"+p.maxStaleness+"'")
	return eris.Wrap(err, "set max_staleness")
}

func (p *proxySession) write(ctx context.Context, id, version int64) error {
	return putNote(ctx, p.conn, id, version)
}

func (p *proxySession) read(ctx context.Context, id int64) (int64, state.DatabaseID, error) {
	version, err := getNote(ctx, p.conn, id)
	return version, "", err
}

// servedBy returns the database that served the last read. It is separate from
// read so that its query is not included in the read's latency.
func (p *proxySession) servedBy(ctx context.Context) (state.DatabaseID, error) {
	var id string
	err := p.conn.QueryRow(ctx, "SHOW cyclamenpin.served_by").Scan(&id)
	return state.DatabaseID(id), eris.Wrap(err, "show served_by")
}

func (p *proxySession) switchInstance(ctx context.Context, instance int) error {
	p.close()
	return p.open(ctx, instance)
}

func (p *proxySession) close() {
	_ = p.conn.Close(context.Background())
}

// stickySession is a clientSession that reads from the primary for some time
// after a write and from the nearest replica otherwise. An instance takes into
// account only the writes that went through itself, so switchInstance ends that
// time.
type stickySession struct {
	in       *installation
	pools    *directPools
	group    int
	instance int
	// stickyTime is how long reads go to the primary after a write. If it is
	// negative, all reads do.
	stickyTime time.Duration
	lastWrite  time.Time
}

func (s *stickySession) write(ctx context.Context, id, version int64) error {
	err := s.pools.withConn(ctx, s.instance, s.in.groups[s.group].Servers()[0], func(conn *pgx.Conn) error {
		return putNote(ctx, conn, id, version)
	})
	s.lastWrite = time.Now()
	return err
}

func (s *stickySession) read(ctx context.Context, id int64) (version int64, servedBy state.DatabaseID, err error) {
	server := s.chooseServer()
	err = s.pools.withConn(ctx, s.instance, server, func(conn *pgx.Conn) error {
		version, err = getNote(ctx, conn, id)
		return err
	})
	return version, server.Describe().ID, err
}

func (s *stickySession) chooseServer() *database.Server {
	servers := s.in.groups[s.group].Servers()
	if s.stickyTime < 0 || !s.lastWrite.IsZero() && time.Since(s.lastWrite) < s.stickyTime {
		return servers[0]
	}
	site := s.in.sites[s.instance]
	nearest := servers[1]
	best := s.in.deployment.oneWayLatency(site, (s.group+1)%databases)
	if other := s.in.deployment.oneWayLatency(site, (s.group+2)%databases); other < best {
		nearest = servers[2]
	}
	return nearest
}

func (s *stickySession) switchInstance(_ context.Context, instance int) error {
	s.instance = instance
	s.lastWrite = time.Time{}
	return nil
}

func (s *stickySession) close() {}

// putNote inserts a row with a version or updates its version.
func putNote(ctx context.Context, conn *pgx.Conn, id, version int64) error {
	_, err := conn.Exec(ctx, fmt.Sprintf(
		"INSERT INTO notes (id, version) VALUES (%d, %d) ON CONFLICT (id) DO UPDATE SET version = %d", id, version, version))
	return err
}

// getNote returns the version of a row, or zero if there is no such row.
func getNote(ctx context.Context, conn *pgx.Conn, id int64) (int64, error) {
	var version int64
	err := conn.QueryRow(ctx, fmt.Sprintf("SELECT COALESCE(MAX(version), 0) FROM notes WHERE id = %d", id)).Scan(&version)
	return version, err
}
