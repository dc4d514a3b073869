package council

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// wireRow is the JSON form of a row in the store's calls.
type wireRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Removed bool `json:",omitempty"`
}

type wireResponse struct {
	Rows  []wireRow `json:"rows"`
	Ver   uint64
	NowMs float64
}

// Endpoint serves the store to one caller over HTTP.
type Endpoint struct {
	Store  *Store
	Caller string
	// Rewrite changes the rows that the caller reads; nil changes none.
	Rewrite func(rowstore.Row) rowstore.Row
}

// ServeHTTP serves the store's calls to an unnamed caller.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	Endpoint{Store: s}.ServeHTTP(w, r)
}

// ServeHTTP serves the store's calls.
func (e Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	client := e.Store.Client(e.Caller)
	query := r.URL.Query()
	switch r.URL.Path {
	case "/cyclamenpin/rows-get":
		snapshot, err := client.List(r.Context(), query.Get("Table"))
		e.Store.respond(w, e.rewritten(snapshot), err)
	case "/cyclamenpin/rows-feed":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		maxWait, _ := strconv.Atoi(query.Get("WaitMs"))
		snapshot, err := client.Watch(r.Context(), query.Get("Table"), after, time.Duration(maxWait)*time.Millisecond)
		e.Store.respond(w, e.rewritten(snapshot), err)
	case "/cyclamenpin/rows-tx":
		e.Store.serveTransaction(w, r, client)
	default:
		http.NotFound(w, r)
	}
}

// stateEra states the era of a response in its header. Errors without an era get
// the present one.
func (s *Store) stateEra(w http.ResponseWriter, snapshot rowstore.Snapshot, err error) {
	era := snapshot.Era
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		era = conflict.Era
	case err != nil:
		era = s.Era()
	}
	if era != 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
}

func (e Endpoint) rewritten(snapshot rowstore.Snapshot) rowstore.Snapshot {
	if e.Rewrite != nil {
		for i, row := range snapshot.Rows {
			snapshot.Rows[i] = e.Rewrite(row)
		}
	}
	return snapshot
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, client *StoreClient) {
	var request struct{ ExpectRev, Puts, Deletes []wireRow }
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var transaction rowstore.Transaction
	for _, row := range request.ExpectRev {
		transaction.Conditions = append(transaction.Conditions, rowstore.Condition{Table: row.Table, Key: row.Key, Version: row.Ver})
	}
	for _, row := range request.Puts {
		transaction.Puts = append(transaction.Puts, rowstore.Row{Table: row.Table, Key: row.Key, Value: row.Value})
	}
	for _, row := range request.Deletes {
		transaction.Deletes = append(transaction.Deletes, rowstore.Row{Table: row.Table, Key: row.Key})
	}
	commit, err := client.Transact(r.Context(), transaction)
	s.respond(w, rowstore.Snapshot{Version: commit.Version, Now: commit.Now, Era: commit.Era}, err)
}

func (s *Store) respond(w http.ResponseWriter, snapshot rowstore.Snapshot, err error) {
	s.stateEra(w, snapshot, err)
	var conflict *rowstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		w.WriteHeader(http.StatusPreconditionFailed)
		writeSnapshot(w, rowstore.Snapshot{Rows: conflict.Rows})
	case errors.Is(err, rowstore.ErrHistoryLost):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, rowstore.ErrRefused):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		panic(http.ErrAbortHandler) // closes the connection without a response
	default:
		writeSnapshot(w, snapshot)
	}
}

func writeSnapshot(w http.ResponseWriter, snapshot rowstore.Snapshot) {
	response := wireResponse{Rows: []wireRow{}, Ver: snapshot.Version, NowMs: float64(snapshot.Now) / float64(time.Millisecond)}
	for _, row := range snapshot.Rows {
		response.Rows = append(response.Rows, wireRow{Table: row.Table, Key: row.Key, Value: row.Value, Ver: row.Version, Removed: row.Removed})
	}
	_ = json.NewEncoder(w).Encode(response)
}

// ReadPromotionCall reads a promotion call as the platform receives it.
func ReadPromotionCall(r *http.Request) (state.PromotionCall, error) {
	var request struct{ Backend, Id string } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return state.PromotionCall{}, eris.Wrap(err, "decode promotion call")
	}
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	return state.PromotionCall{
		Group: state.GroupID(request.Backend), Database: state.DatabaseID(request.Id), Holder: state.InstanceID(r.Header.Get("Lease-Holder")), Token: token,
	}, eris.Wrap(err, "token of promotion call")
}

// ServePromotions serves the promotion call.
func (g *Group) ServePromotions(w http.ResponseWriter, r *http.Request) {
	call, err := ReadPromotionCall(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.Promoter().Promote(r.Context(), call); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// Serve accepts connections to a database until the listener is closed.
func (d *Database) Serve(listener net.Listener) {
	d.ServeAs(listener, "")
}

// ServeAs accepts connections that are opened by caller.
func (d *Database) ServeAs(listener net.Listener, caller string) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		go d.ServeConn(raw, caller)
	}
}

// ServeConn serves one connection that was opened by caller. If that is empty, the
// connection states who opened it.
func (d *Database) ServeConn(raw net.Conn, caller string) {
	defer raw.Close()
	reader := bufio.NewReader(raw)
	line, err := readLine(reader)
	fields := strings.SplitN(line, " ", 4)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	id := state.DatabaseID("")
	if len(fields) > 3 {
		id = state.DatabaseID(fields[3])
	}
	if caller == "" {
		caller = fields[2]
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	session, reply, err := d.Connect(ctx, caller, state.GroupID(fields[1]), id)
	if err != nil {
		return
	}
	if reply.Code != state.CodeNone {
		_, _ = raw.Write([]byte(formatError(reply)))
		return
	}
	defer session.Close()
	go func() {
		<-session.Ended()
		_ = raw.Close()
	}()
	served := &servedConn{session: session, reader: reader, raw: raw, number: connections.Add(1)}
	for open := served.answer(&Run{Reply: reply}, []byte(formatReady(reply))); open; {
		open = served.serveStatement()
	}
}

// Registration returns the row with which a database that listens on address
// registers itself.
func (d *Database) Registration(address string) []byte {
	server := d.Server()
	status := "ready"
	if server.Leaving {
		status = "draining"
	}
	return fmt.Appendf(nil, `{"Backend":%q,"Addr":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"ColdLeftMs":0,"DbRole":%q,"Seq":1,"born":%d}`,
		server.Group, address, d.dataCentre, server.Slots, status, server.Role, server.Born)
}
