package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

const (
	databases = 3
	// registrationLapse is how long a database may be silent before its
	// registration is removed.
	registrationLapse = 3600 * time.Millisecond
	// staleness is the bound that the stand-in's configuration sets.
	staleness = 2500 * time.Millisecond
	// group is the one group of databases.
	group = state.GroupID("g")
	// endBound is how long a program may take to end: the grace of its
	// settings, and the longest pauses that may hit it meanwhile.
	endBound = 20 * time.Second
)

// system is a store, a group of databases and some instances as processes.
type system struct {
	t         *testing.T
	store     *standin.Store
	group     *standin.Group
	addresses []string // of the databases, without proxies
	version   uint64
	instances []*instance
	stopped   chan struct{}
	// cutsPeers lets troubles cut instances off from each other.
	cutsPeers bool
}

// instance is one entry instance with the proxies around it.
type instance struct {
	system   *system
	name     string
	settings string
	address  string
	// peerAddress is where other instances would reach it without a proxy.
	peerAddress string
	// proxies lead to the store and then to each database, peers to the other
	// instances by their peerAddress.
	proxies []*proxy
	peers   map[string]*peerProxy

	// life is held while the program starts or ends, and is taken before mu.
	life    sync.Mutex
	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

func newSystem(t *testing.T, instances int) *system {
	t.Helper()
	s := &system{t: t, store: standin.NewStore(), stopped: make(chan struct{}), group: standin.NewGroup(standin.Options{
		Group: group, Databases: databases, MaxConnections: 22, Slots: 3, MaxQueued: 24, ServiceTime: 3 * time.Millisecond,
		ReceiveDelay: 2 * time.Millisecond, ApplyDelay: 20 * time.Millisecond, PromotionDelay: 300 * time.Millisecond,
	})}
	for n := 1; n <= databases; n++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go s.group.Database(n).Serve(listener)
		s.addresses = append(s.addresses, listener.Addr().String())
	}
	s.configure()
	go s.register()
	t.Cleanup(func() { close(s.stopped) })
	promotions := httptest.NewServer(http.HandlerFunc(s.group.ServePromotions))
	t.Cleanup(promotions.Close)
	for n := range instances {
		s.instances = append(s.instances, s.newInstance(fmt.Sprintf("entry-%d", n+1), promotions.Listener.Addr().String()))
	}
	for _, i := range s.instances {
		for _, other := range s.instances {
			if other != i {
				i.reach(other.peerAddress)
			}
		}
	}
	for _, i := range s.instances {
		i.start()
	}
	return s
}

// configure writes the next version of the configuration.
func (s *system) configure() {
	s.version += 3
	s.store.Put(platform.ConfigurationTable, platform.ConfigurationRow, standin.Configuration(s.version, group))
}

// register keeps the databases' registrations as they would.
func (s *system) register() {
	seen := make([]time.Time, databases)
	last := make([][]byte, databases)
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for n := range databases {
			database := s.group.Database(n + 1)
			if database.Running() {
				row := database.Registration(s.addresses[n])
				if !bytes.Equal(row, last[n]) {
					s.store.Put(platform.ServersTable, string(database.ID), row)
				}
				last[n], seen[n] = row, time.Now()
			} else if last[n] != nil && time.Since(seen[n]) > registrationLapse {
				s.store.Delete(platform.ServersTable, string(database.ID))
				last[n] = nil
			}
		}
	}
}

// lastPort is the last port given to an instance. Ports stay below those that
// the kernel gives to connections, and are not given twice, because an instance
// needs its own again when it restarts. Two soaks on one machine use different
// blocks: each holds the first port of its own.
var lastPort atomic.Int32

var ownBlock = sync.OnceValue(func() int {
	for block := range portBlocks {
		first := firstPort + portBlock*block
		if _, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first)); err == nil {
			return first
		}
	}
	return firstPort
})

const (
	firstPort  = 20_000
	portBlocks = 20
	portBlock  = 600
)

func freePort(t *testing.T) string {
	t.Helper()
	for range 1000 {
		port := strconv.Itoa(ownBlock() + int(lastPort.Add(1)))
		listener, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err == nil {
			_ = listener.Close()
			return port
		}
	}
	require.Fail(t, "no port is free")
	return ""
}

func (s *system) newInstance(name, promotions string) *instance {
	peerPort := freePort(s.t)
	i := &instance{
		system: s, name: name, address: "127.0.0.1:" + freePort(s.t), settings: filepath.Join(s.t.TempDir(), name+".toml"),
		peerAddress: "127.0.0.1:" + peerPort, peers: make(map[string]*peerProxy),
	}
	endpoint := httptest.NewServer(standin.Endpoint{Store: s.store, Caller: name, Rewrite: i.rewrite})
	s.t.Cleanup(endpoint.Close)
	proxies := []*proxy{newProxy(s.t, endpoint.Listener.Addr().String())}
	for _, address := range s.addresses {
		proxies = append(proxies, newProxy(s.t, address))
	}
	i.mu.Lock()
	i.proxies = proxies
	i.mu.Unlock()
	i.writeSettings(standin.SettingsFile(state.InstanceID(name), standin.Addresses{
		Clients: i.address, Ready: "127.0.0.1:" + freePort(s.t), Store: i.proxies[0].address(), Promotions: promotions, PeerPort: peerPort,
	}))
	return i
}

// reach leads the way to another instance through a proxy.
func (i *instance) reach(peerAddress string) {
	peer := newPeerProxy(i.system.t, peerAddress)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.peers[peerAddress] = peer
}

// rewrite shows the instance its own proxies as the addresses of databases and
// other instances. All addresses have the same length, so that rows in which a
// length precedes the text stay whole.
func (i *instance) rewrite(row rowstore.Row) rowstore.Row {
	i.mu.Lock()
	defer i.mu.Unlock()
	for address, peer := range i.peers {
		row.Value = bytes.ReplaceAll(row.Value, []byte(address), []byte(peer.address()))
	}
	for n, address := range i.system.addresses {
		row.Value = bytes.ReplaceAll(row.Value, []byte(fmt.Sprintf("%q", address)), []byte(fmt.Sprintf("%q", i.proxies[n+1].address())))
	}
	return row
}

func (i *instance) writeSettings(text string) {
	require.NoError(i.system.t, os.WriteFile(i.settings, []byte(text), 0o600))
}

// start starts the program, unless it runs.
func (i *instance) start() {
	i.life.Lock()
	defer i.life.Unlock()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		return
	}
	if i.log == nil {
		log, err := os.Create(filepath.Join(i.system.t.TempDir(), i.name+".log"))
		require.NoError(i.system.t, err)
		i.log = log
	}
	process := exec.Command(binary, "entry", "--config", i.settings)
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	process.Stdout, process.Stderr = i.log, i.log
	require.NoError(i.system.t, process.Start())
	exited := make(chan struct{})
	i.process, i.exited = process, exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
}

// signal sends a signal to the program, if it runs.
func (i *instance) signal(signal os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(signal)
	}
}

// end sends a signal that ends the program, and waits until it has ended.
func (i *instance) end(signal os.Signal) {
	i.life.Lock()
	defer i.life.Unlock()
	i.mu.Lock()
	process, exited := i.process, i.exited
	i.mu.Unlock()
	if process == nil {
		return
	}
	defer func() {
		i.mu.Lock()
		i.process = nil
		i.mu.Unlock()
	}()
	_ = process.Process.Signal(syscall.SIGCONT)
	_ = process.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(endBound):
		i.system.t.Errorf("%s does not end after %v", i.name, signal)
		_ = process.Process.Kill()
		<-exited
	}
}

// output returns the end of what the program has logged.
func (i *instance) output() string {
	text, err := os.ReadFile(i.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-keptOutput):])
}

// keptOutput is how much of an instance's log a failed run prints, in bytes.
const keptOutput = 40_000
