package processes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Performance targets of the project, used as limits of the waits in the tests.
const (
	primaryBound       = 15 * time.Second // a change of primary
	configurationBound = 18 * time.Second // an edit in force on all instances
)

const (
	groupName = "orders"
	userName  = "app"
	password  = "secret"
	peerKey   = "a key for these tests only"
)

// replicationLags are the replication lags of the three databases. The second
// database completes the majority that acknowledges a write. The third lags
// more, so it must not serve a read that follows a write of the same session at
// once.
var replicationLags = []string{"20ms", "20ms", "100ms"}

// clusterSlots limits how many clusters run at once in parallel tests.
var clusterSlots = make(chan struct{}, 3)

// cluster is a platform stand-in, a group of three stand-in databases in three
// data centres, and four instances. Each of them is a separate process.
type cluster struct {
	t         *testing.T
	folder    string
	platform  *server
	databases []*server

	mu        sync.Mutex  // protects instances
	instances []*instance // those that clients may use
}

// server is a stand-in: its process and the addresses that it printed.
type server struct {
	*process
	id        string
	addresses map[string]string // by name of the service
}

// instance is one run of a proxy instance. A restarted instance is a new one
// with the same id.
type instance struct {
	*process
	id, dataCentre       string
	clients, peer, admin string // host:port
}

// host returns the loopback address of a data centre: 127.0.0.1 for dc1, 127.0.0.2
// for dc2, 127.0.0.3 for dc3.
func host(dataCentre string) string {
	return "127.0.0." + strings.TrimPrefix(dataCentre, "dc")
}

// startCluster starts all processes, makes the first configuration edits with
// the command line and waits until all instances are ready.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, folder: t.TempDir()}
	c.startDatabases()
	c.startPlatform()
	for number, dataCentre := range []string{"dc1", "dc2", "dc3", "dc1"} {
		c.add(c.startInstance(fmt.Sprintf("i%d", number+1), dataCentre))
	}
	c.configure()
	for _, instance := range c.live() {
		c.awaitReady(instance, configurationBound)
	}
	c.createTables()
	return c
}

func (c *cluster) startStandIn(id string, names []string, arguments ...string) *server {
	c.t.Helper()
	s := &server{id: id, addresses: map[string]string{}}
	started := make(chan struct{})
	s.process = startProcess(c.t, id, func(line string) {
		name, address, found := strings.Cut(line, " ")
		if !found || !slices.Contains(names, name) || s.addresses[name] != "" {
			return
		}
		s.addresses[name] = address
		if len(s.addresses) == len(names) {
			close(started)
		}
	}, arguments...)
	c.awaitStart(started, id)
	return s
}

func (c *cluster) awaitStart(started <-chan struct{}, id string) {
	c.t.Helper()
	select {
	case <-started:
	case <-time.After(startBound):
		require.Fail(c.t, "not started", id)
	}
}

func (c *cluster) startDatabases() {
	for number := 1; number <= 3; number++ {
		dataCentre := fmt.Sprintf("dc%d", number)
		id := fmt.Sprintf("%s-%d", groupName, number)
		arguments := []string{
			"standin", "database", "--id", id, "--data-centre", dataCentre,
			"--listen", host(dataCentre) + ":0", "--switches", host(dataCentre) + ":0",
			"--lag", replicationLags[number-1],
		}
		if number == 1 {
			arguments = append(arguments, "--primary")
		} else {
			arguments = append(arguments, "--follow", c.databases[0].id+"="+c.databases[0].addresses["database"])
		}
		c.databases = append(c.databases, c.startStandIn(id, []string{"database", "switches"}, arguments...))
	}
}

func (c *cluster) startPlatform() {
	group := state.Group{ID: groupName, Term: 1, Primary: state.DatabaseID(c.databases[0].id)}
	for number, database := range c.databases {
		group.Databases = append(group.Databases, state.Database{
			ID: state.DatabaseID(database.id), Address: database.addresses["database"],
			DataCentre: state.DataCentre(fmt.Sprintf("dc%d", number+1)), Slots: 3, MaxConnections: 20,
		})
	}
	document, err := json.Marshal([]state.Group{group})
	require.NoError(c.t, err)
	c.platform = c.startStandIn("platform", []string{"platform", "switches"},
		"standin", "platform", "--groups", c.file("groups.json", string(document)))
}

// file writes a file in the cluster's folder and returns its path.
func (c *cluster) file(name, content string) string {
	path := filepath.Join(c.folder, name)
	require.NoError(c.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// startInstance starts an instance. Clients don't use it before add.
func (c *cluster) startInstance(id, dataCentre string, extraArguments ...string) *instance {
	c.t.Helper()
	i := &instance{id: id, dataCentre: dataCentre}
	started := make(chan struct{})
	listen := host(dataCentre) + ":0"
	arguments := append([]string{
		"proxy", "--instance-id", id, "--data-centre", dataCentre,
		"--listen", listen, "--peer-listen", listen, "--admin-listen", listen,
		"--platform", "http://" + c.platform.addresses["platform"], "--peer-keys", peerKey,
	}, extraArguments...)
	i.process = startProcess(c.t, id, func(line string) {
		var entry struct{ Message, Clients, Peers, Admin string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "instance started" {
			i.clients, i.peer, i.admin = entry.Clients, entry.Peers, entry.Admin
			close(started)
		}
	}, arguments...)
	c.awaitStart(started, id)
	return i
}

func (c *cluster) configure() {
	admin := c.live()[0].adminURL()
	mustCommand(c.t, "plans", "edit", "app", "--user", userName,
		"--password-file", c.file("password", password), "--admin", admin)
	// An instance finds the others by polling the platform's list of instances.
	// Repeating the edit changes nothing but checks again on how many instances
	// it is in force. The pause between repetitions keeps the instance within its
	// budget of platform requests.
	var output string
	lastEdit := time.Time{}
	eventually(c.t, configurationBound, func() bool {
		if time.Since(lastEdit) < time.Second {
			return false
		}
		lastEdit = time.Now()
		output = mustCommand(c.t, "limits", "edit", "app", "--max-connections", "10", "--databases", groupName,
			"--admin", admin, "--wait")
		return strings.Contains(output, "in force on 4 of 4")
	}, "not in force on all instances: %s", &output)
}

func (c *cluster) createTables() {
	url := fmt.Sprintf("postgres://operator@%s/%s", c.databases[0].addresses["database"], groupName)
	conn, err := pgx.Connect(c.t.Context(), url)
	require.NoError(c.t, err)
	defer func() { _ = conn.Close(c.t.Context()) }()
	for _, statement := range []string{execution.RequestTableDDL, "CREATE TABLE ops (id text, writer text)"} {
		_, err := conn.Exec(c.t.Context(), statement)
		require.NoError(c.t, err)
	}
}

// live returns the instances that clients may use.
func (c *cluster) live() []*instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.instances)
}

func (c *cluster) add(added *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = append(c.instances, added)
}

// remove stops clients from using an instance, as the load balancer does.
func (c *cluster) remove(removed *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = slices.DeleteFunc(c.instances, func(i *instance) bool { return i == removed })
}

func (i *instance) adminURL() string {
	return "http://" + i.admin
}

func (i *instance) ready() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get(i.adminURL() + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (c *cluster) awaitReady(i *instance, bound time.Duration) {
	c.t.Helper()
	eventually(c.t, bound, i.ready, "instance %s is not ready", i.id)
}

// setSwitch posts to a path of a stand-in's switches, which inject faults.
func (c *cluster) setSwitch(s *server, path, body string) {
	c.t.Helper()
	response, err := http.Post("http://"+s.addresses["switches"]+path, "application/json", strings.NewReader(body))
	require.NoError(c.t, err)
	defer response.Body.Close()
	require.Less(c.t, response.StatusCode, http.StatusMultipleChoices, path)
}

func (c *cluster) setPlatformDown(down bool) {
	c.t.Helper()
	c.setSwitch(c.platform, "/switches", fmt.Sprintf(`{"down":%t}`, down))
}

// status reads term, log position and role of a database from its switches. It
// returns false if the database does not respond.
func (s *server) status() (state.DatabaseStatus, string, bool) {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + s.addresses["switches"] + "/status")
	if err != nil {
		return state.DatabaseStatus{}, "", false
	}
	defer response.Body.Close()
	var body struct {
		Term state.Term     `json:"term"`
		Role string         `json:"role"`
		Log  state.Position `json:"log"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return state.DatabaseStatus{}, "", false
	}
	return state.DatabaseStatus{Term: body.Term, Log: body.Log}, body.Role, true
}

// primary returns the primary of the highest term and the term, or nil and zero
// if no database reports that it is primary.
func (c *cluster) primary() (*server, state.Term) {
	var primary *server
	var term state.Term
	for _, database := range c.databases {
		status, role, ok := database.status()
		if ok && role == "primary" && status.Term > term {
			primary, term = database, status.Term
		}
	}
	return primary, term
}

// awaitCaughtUp waits until all databases follow one primary and hold the same
// log.
func (c *cluster) awaitCaughtUp(bound time.Duration) {
	c.t.Helper()
	eventually(c.t, bound, func() bool {
		roles := map[string]int{}
		var logs []state.Position
		for _, database := range c.databases {
			status, role, ok := database.status()
			if !ok {
				return false
			}
			roles[role]++
			logs = append(logs, status.Log)
		}
		return roles["primary"] == 1 && roles["replica"] == 2 && len(slices.Compact(logs)) == 1
	}, "the databases do not follow one primary with the same log")
}

// dump is the part of an instance's state dump that the tests read.
type dump struct {
	Configuration struct{ Revision int }
	Connections   []struct {
		Database        string
		OpenConnections int `json:"open_connections"`
	}
	Groups []struct {
		State struct {
			Gates []struct {
				Server    string
				SlotsHeld int `json:"slots_held"`
			}
		}
	}
}

func (c *cluster) dump(i *instance) dump {
	c.t.Helper()
	var d dump
	output := mustCommand(c.t, "dump", "--output", "json", "--admin", i.adminURL())
	require.NoError(c.t, json.Unmarshal([]byte(output), &d))
	return d
}

// owner returns the instance that holds connections to a database.
func (c *cluster) owner(database *server) *instance {
	c.t.Helper()
	for _, instance := range c.live() {
		for _, connections := range c.dump(instance).Connections {
			if connections.Database == database.id && connections.OpenConnections > 0 {
				return instance
			}
		}
	}
	require.Fail(c.t, "no instance owns "+database.id)
	return nil
}

// slotsHeld returns how many statement slots an instance holds on a database.
func (c *cluster) slotsHeld(i *instance, database *server) int {
	c.t.Helper()
	for _, group := range c.dump(i).Groups {
		for _, gate := range group.State.Gates {
			if gate.Server == database.id {
				return gate.SlotsHeld
			}
		}
	}
	return 0
}
