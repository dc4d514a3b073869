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

// portalSession is one client session under some policy of reading.
type portalSession interface {
	write(ctx context.Context, id, version int64) error
	// read returns the version of a row as the session sees it, zero where it
	// sees none, and the database that served the read.
	read(ctx context.Context, id int64) (version int64, servedBy state.DatabaseID, err error)
	// roam goes on through another entry instance and brings nothing along.
	roam(ctx context.Context, instance int) error
	close()
}

// proxied is a session through the proxy.
type proxied struct {
	in           *installation
	group        int
	maxStaleness string
	conn         *pgx.Conn
}

func (p *proxied) open(ctx context.Context, instance int) error {
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

func (p *proxied) write(ctx context.Context, id, version int64) error {
	return putNote(ctx, p.conn, id, version)
}

func (p *proxied) read(ctx context.Context, id int64) (int64, state.DatabaseID, error) {
	version, err := getNote(ctx, p.conn, id)
	return version, "", err
}

// servedBy asks which database served the last read. It is kept apart from
// read so that it is not timed.
func (p *proxied) servedBy(ctx context.Context) (state.DatabaseID, error) {
	var id string
	err := p.conn.QueryRow(ctx, "SHOW cyclamenpin.served_by").Scan(&id)
	return state.DatabaseID(id), eris.Wrap(err, "show served_by")
}

func (p *proxied) roam(ctx context.Context, instance int) error {
	p.close()
	return p.open(ctx, instance)
}

func (p *proxied) close() {
	_ = p.conn.Close(context.Background())
}

// sticky is a session that reads from the primary for a time after a write and
// from the nearest replica otherwise. Each instance knows the writes that
// went through itself only.
type sticky struct {
	in       *installation
	pools    *straightPools
	group    int
	instance int
	// stickFor is how long; always reads from the primary where negative.
	stickFor  time.Duration
	lastWrite time.Time
}

func (s *sticky) write(ctx context.Context, id, version int64) error {
	err := s.pools.with(ctx, s.instance, s.in.groups[s.group].Servers()[0], func(conn *pgx.Conn) error {
		return putNote(ctx, conn, id, version)
	})
	s.lastWrite = time.Now()
	return err
}

func (s *sticky) read(ctx context.Context, id int64) (version int64, servedBy state.DatabaseID, err error) {
	server := s.choose()
	err = s.pools.with(ctx, s.instance, server, func(conn *pgx.Conn) error {
		version, err = getNote(ctx, conn, id)
		return err
	})
	return version, server.Describe().ID, err
}

func (s *sticky) choose() *database.Server {
	servers := s.in.groups[s.group].Servers()
	if s.stickFor < 0 || !s.lastWrite.IsZero() && time.Since(s.lastWrite) < s.stickFor {
		return servers[0]
	}
	site := s.in.sites[s.instance]
	nearest := servers[1]
	best := s.in.deployment.distance(site, (s.group+1)%databases)
	if other := s.in.deployment.distance(site, (s.group+2)%databases); other < best {
		nearest = servers[2]
	}
	return nearest
}

func (s *sticky) roam(_ context.Context, instance int) error {
	s.instance = instance
	s.lastWrite = time.Time{}
	return nil
}

func (s *sticky) close() {}

// putNote writes a version of a row.
func putNote(ctx context.Context, conn *pgx.Conn, id, version int64) error {
	_, err := conn.Exec(ctx, fmt.Sprintf(
		"INSERT INTO notes (id, version) VALUES (%d, %d) ON CONFLICT (id) DO UPDATE SET version = %d", id, version, version))
	return err
}

// getNote reads the version of a row, zero where there is none.
func getNote(ctx context.Context, conn *pgx.Conn, id int64) (int64, error) {
	var version int64
	err := conn.QueryRow(ctx, fmt.Sprintf("SELECT COALESCE(MAX(version), 0) FROM notes WHERE id = %d", id)).Scan(&version)
	return version, err
}
