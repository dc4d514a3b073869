package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Tables and keys of the store, as PROTOCOL.md names them.
const (
	tableOperator = "op"
	rowConfig     = "config"
	tableServers  = "servers"
)

// Figures of the small deployments.
const (
	heartbeatInterval = 1200 * time.Millisecond
	// silenceLimit is three heartbeat intervals, after which an entry is removed.
	silenceLimit   = 3 * heartbeatInterval
	maxConnections = 22
	slots          = 3
	queued         = 24
	graceSeconds   = 6
	// rewriteDelay is how long after a restoration what others wrote is written again.
	rewriteDelay = time.Second
)

// route is a route of the operator's configuration.
type route struct {
	Name, Host, Type, Backend string
	Prio                      int
	TimeoutMs                 int64
	SloMs                     int64
	MaxStalenessMs            int64 `json:",omitempty"`
}

// deployment describes what a case is played on.
type deployment struct {
	zones        []string
	instances    int
	groups       []standin.Options
	syncReplicas int
	routes       []route
	// links gives each machine a link to the platform that can be cut.
	links bool
}

// cluster is the platform, the databases and the instances.
type cluster struct {
	deployment deployment
	record     *record
	folder     string
	logs       string
	program    string
	block      string
	store      *standin.Store
	groups     []*standin.Group
	servers    []*server
	instances  []*process
	beats      *beats
	done       chan struct{}

	mu      sync.Mutex
	version uint64
	// configuration is the last version's text.
	configuration []byte
}

// newCluster starts the stand-ins and the instances, and waits until all are ready.
func newCluster(d deployment, program, logs string, r *record) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{deployment: d, record: r, folder: folder, logs: logs, program: program, store: standin.NewStore(), done: make(chan struct{})}
	c.beats = &beats{cluster: c, last: make(map[string]beat)}
	if err := c.serve(); err != nil {
		c.stop()
		return nil, errors.Join(errSetup, err)
	}
	c.configure(d.routes)
	go c.beats.run()
	for n := range d.instances {
		if err := c.addInstance(n); err != nil {
			c.stop()
			return nil, errors.Join(errSetup, err)
		}
	}
	if err := c.awaitReady(); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// serve starts the store, the platform's calls and the databases.
func (c *cluster) serve() error {
	for _, options := range c.deployment.groups {
		group := standin.NewGroup(options)
		group.Record()
		c.groups = append(c.groups, group)
		go group.Maintain(c.done)
	}
	block, err := freeBlock()
	if err != nil {
		return err
	}
	c.block = block
	for _, served := range []struct {
		port    int
		handler http.Handler
	}{{storePort, c.store}, {cloudPort, http.HandlerFunc(c.servePromotion)}} {
		listener, err := net.Listen("tcp", c.address(1, served.port))
		if err != nil {
			return err
		}
		server := &http.Server{Handler: served.handler, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(listener) }()
	}
	for g, group := range c.groups {
		for n := 1; n <= c.deployment.groups[g].Databases; n++ {
			zone := c.deployment.zones[(n-1)%len(c.deployment.zones)]
			if err := c.addServer(group.Database(n), c.address(100+10*g+n, databasePort), zone); err != nil {
				return err
			}
		}
	}
	return nil
}

// servePromotion serves POST /promote for the group that the call names.
func (c *cluster) servePromotion(w http.ResponseWriter, r *http.Request) {
	call, err := standin.ReadPromotionCall(r)
	if err != nil || r.URL.Path != "/promote" {
		http.Error(w, "not understood", http.StatusBadRequest)
		return
	}
	c.record.line("promote %s of %s, holder %s, fence %d", call.Database, call.Group, call.Holder, call.Token)
	for _, group := range c.groups {
		if group.Database(1).Server().Group != call.Group {
			continue
		}
		if err := group.Promoter().Promote(r.Context(), call); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
		return
	}
	http.Error(w, "no such service", http.StatusBadRequest)
}

// configure writes the next version of the operator's configuration.
func (c *cluster) configure(routes []route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 2
	type object map[string]any
	var backends []object
	for _, group := range c.deployment.groups {
		backends = append(backends, object{"Name": group.Group, "MaxConns": maxConnections, "SyncReplicas": c.deployment.syncReplicas})
	}
	value, err := json.Marshal(object{"Version": c.version, "Routes": routes, "Backends": backends, "Limits": object{"TxIdleMs": 3000}})
	if err != nil {
		panic(err)
	}
	c.configuration = value
	c.store.Put(tableOperator, rowConfig, value)
	for _, r := range routes {
		c.record.line("operator: version %d, %s to %s", c.version, r.Host, r.Backend)
	}
}

// restore lets the store come back from a copy. The operator and the databases write again
// what they wrote.
func (c *cluster) restore(from standin.Copy) {
	c.store.Restore(from)
	c.record.line("store: back from a copy, era %d", c.store.Era())
	time.AfterFunc(rewriteDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.store.Put(tableOperator, rowConfig, c.configuration)
		c.beats.rewrite()
	})
}

// awaitReady waits until all instances answer the ready probe with 200.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range c.instances {
		for !p.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errSetup, p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.record.line("%d instances are ready", len(c.instances))
	return nil
}

// stop ends all processes and stand-ins.
func (c *cluster) stop() {
	killAll()
	select {
	case <-c.done:
	default:
		close(c.done)
	}
	_ = os.RemoveAll(c.folder)
}

// group returns the group of the given name.
func (c *cluster) group(name state.GroupID) *standin.Group {
	for g, options := range c.deployment.groups {
		if options.Group == name {
			return c.groups[g]
		}
	}
	return nil
}

func (c *cluster) path(name string) string { return filepath.Join(c.folder, name) }
