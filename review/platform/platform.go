package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

// The platform's bounds, as in the settings of the pages' small deployments.
const (
	heartbeat          = 1200 * time.Millisecond
	registrationExpiry = 3 * heartbeat
	drainTime          = 7 * time.Second
	grace              = 6 * time.Second
	headerTimeout      = 10 * time.Second
)

// promotion is a call of the promotion endpoint.
type promotion struct {
	at       time.Time
	database string
	holder   string
	fence    uint64
}

// platform is the store with the promotion endpoint.
type platform struct {
	store  *council.Store
	group  *group
	record *record

	mu         sync.Mutex
	promotions []promotion
}

func newPlatform(r *record) *platform {
	return &platform{store: council.NewStore(), record: r}
}

// registry returns the writer of the databases' rows.
func (p *platform) registry() *registry {
	return &registry{
		write:  func(id string, row []byte) { p.store.Put("servers", id, row) },
		delete: func(id string) { p.store.Delete("servers", id) },
	}
}

// configure writes the operator's configuration: a route of each type to the group.
func (p *platform) configure(version int, o groupOptions) {
	value := fmt.Sprintf(`{"Version":%d,"Routes":[
{"Host":"desk","Type":"primary","TimeoutMs":800,"SloMs":800,"Prio":1,"Backend":%[2]q},
{"Host":"board","Type":"bounded","TimeoutMs":2000,"SloMs":800,"Prio":2,"Backend":%[2]q,"MaxStalenessMs":1500},
{"Host":"cab","Type":"session","TimeoutMs":800,"SloMs":800,"Prio":2,"Backend":%[2]q,"MaxStalenessMs":2500}],
"Backends":[{"Name":%[2]q,"MaxConns":%[3]d,"SyncReplicas":%[4]d}],"Limits":{"TxIdleMs":5000}}`,
		version, p.group.name, o.maxConnections, o.syncReplicas)
	p.store.Put("op", "config", []byte(value))
	p.record.note("operator", "writes configuration %d", version)
}

// serve serves the store and the promotion endpoint on addresses of their own.
func (p *platform) serve() (storeAddress, promoteAddress string, err error) {
	if storeAddress, err = serveHTTP(p.store); err != nil {
		return "", "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	promoteAddress, err = serveHTTP(mux)
	return storeAddress, promoteAddress, err
}

func serveHTTP(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// promote serves a promotion call. The platform does not check the fence.
func (p *platform) promote(w http.ResponseWriter, r *http.Request) {
	var request struct{ Backend, Id string } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	call := promotion{at: time.Now(), database: request.Id, holder: r.Header.Get("Lease-Holder"), fence: fence}
	p.mu.Lock()
	p.promotions = append(p.promotions, call)
	p.mu.Unlock()
	p.record.say("the platform gets POST /promote of %s from %s with fence %d", call.database, call.holder, call.fence)
	if !p.group.promote(request.Id) {
		http.Error(w, "the database does not run", http.StatusConflict)
	}
}

// calls returns the promotion calls so far.
func (p *platform) calls() []promotion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]promotion(nil), p.promotions...)
}

// awaitRow waits until a row of a table satisfies a condition, and reports whether it
// did in time.
func (p *platform) awaitRow(table string, limit time.Duration, is func(rowstore.Row) bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		for _, row := range p.rows(table) {
			if is(row) {
				return true
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// rows returns a table's rows.
func (p *platform) rows(table string) []rowstore.Row {
	snapshot, err := p.store.Client("case").List(contextForever(), table)
	if err != nil {
		return nil
	}
	return snapshot.Rows
}
