package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

// The deployment is a small one: four machines, and two services of three databases each.
const (
	machines  = 4
	databases = 3
	group     = state.GroupID("dispatch-db-1")
	other     = state.GroupID("dispatch-db-2")
	// memoryLimitBytes is Limits.MemoryMb of the settings.
	memoryLimitBytes = 284 << 20
	graceS           = 6
	heartbeat        = 1200 * time.Millisecond
	// restartDelay is the short delay after which a process that has ended starts again.
	restartDelay = 500 * time.Millisecond
	metricsPort  = "9464"
	// rotationLimit is how long the machines may take to be in rotation.
	rotationLimit = 20 * time.Second
)

// deployment is the store, the databases and the machines with their processes.
type deployment struct {
	record   *record
	program  string
	folder   string
	store    *rowStore
	groups   map[state.GroupID]*standin.Group
	machines []*machine
	// results are the proxies before the databases.
	results []*resultProxy
	stopped chan struct{}
	closers []func()
}

// machine runs one process of the program.
type machine struct {
	deployment *deployment
	name       string
	ip         string
	clients    string
	ready      string
	settings   string
	// storeLink leads from the machine to the store.
	storeLink *storeLink

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// startedAt is when its process started last. offUntil is until when the machine has no
	// power.
	startedAt, offUntil time.Time
	// kills counts how often the platform killed the process for its memory.
	kills int
	// peak is the greatest resident memory of any of its processes, in bytes.
	peak int64
	// misses counts the readiness probes without a 200 in a row; out is set while the
	// machine is out of rotation.
	misses int
	out    bool
}

func newDeployment(program string, record *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "reviewharness3")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: record, program: program, folder: folder, store: newRowStore(), stopped: make(chan struct{})}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(folder) })
	d.groups = map[state.GroupID]*standin.Group{group: newGroup(group), other: newGroup(other)}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func newGroup(id state.GroupID) *standin.Group {
	return standin.NewGroup(standin.Options{
		Group: id, Databases: databases, MaxConnections: 22, Slots: 3, MaxQueued: 24, ServiceTime: 3 * time.Millisecond,
		ConnectTime: 12 * time.Millisecond, ReceiveDelay: 2 * time.Millisecond, ApplyDelay: 20 * time.Millisecond, PromotionDelay: time.Second,
	})
}

// promote passes a promotion call to the service that it names.
func (d *deployment) promote(w http.ResponseWriter, r *http.Request) {
	call, err := standin.ReadPromotionCall(r)
	if err != nil || d.groups[call.Group] == nil {
		http.Error(w, "promotion call not understood", http.StatusBadRequest)
		return
	}
	d.record.printf("promotion of %s by %s with token %d", call.Database, call.Holder, call.Token)
	if err := d.groups[call.Group].Promoter().Promote(r.Context(), call); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

func (d *deployment) start() error {
	d.configure(3, nil)
	storeAddress, err := d.serve(d.store)
	if err != nil {
		return err
	}
	promotions, err := d.serve(http.HandlerFunc(d.promote))
	if err != nil {
		return err
	}
	for _, g := range d.groups {
		if err := d.startDatabases(g); err != nil {
			return err
		}
	}
	for n := range machines {
		m, err := d.newMachine(n, storeAddress, promotions)
		if err != nil {
			return err
		}
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		go m.run()
		go m.probe()
	}
	return nil
}

// startDatabases lets the databases of a service listen and register.
func (d *deployment) startDatabases(g *standin.Group) error {
	for n := 1; n <= databases; n++ {
		database := g.Database(n)
		database.SetDataCentre(zone(n - 1))
		if err := d.startDatabase(database); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startDatabase(database *standin.Database) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.closers = append(d.closers, func() { _ = listener.Close() })
	go database.Serve(listener)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.closers = append(d.closers, func() { _ = front.Close() })
	results := &resultProxy{target: listener.Addr().String(), rows: 1, rowBytes: 1}
	d.results = append(d.results, results)
	go results.serve(front)
	go d.register(database, front.Addr().String())
	return nil
}

// primaryRoute is a route to a service whose reads run on the primary.
func primaryRoute(name string, to state.GroupID) standin.Route {
	return standin.Route{Name: name, Group: to, Consistency: state.ConsistencyPrimary, Timeout: 2 * time.Second, Objective: 2 * time.Second}
}

// configure writes a version of the configuration: a session route, cab, and the given ones.
func (d *deployment) configure(version uint64, further []standin.Route) {
	cab := primaryRoute("cab", group)
	cab.Consistency, cab.MaxStaleness = state.ConsistencySession, 2500*time.Millisecond
	routes := append([]standin.Route{cab, primaryRoute("desk", group)}, further...)
	row, err := standin.FleetConfiguration(version, []state.GroupID{group, other}, 22, 0, routes)
	if err != nil {
		panic(err) // the routes are constant
	}
	d.store.put(platform.ConfigurationTable, platform.ConfigurationRow, row)
	d.record.printf("the store has acknowledged version %d of the configuration, %d routes, %d bytes", version, len(routes), len(row))
}

// serve serves HTTP on a free port and returns the address.
func (d *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	d.closers = append(d.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// register writes a database's registration when it changes, until the database has ended.
func (d *deployment) register(database *standin.Database, address string) {
	var last []byte
	for !d.pause(heartbeat / 12) {
		if !database.Running() {
			d.store.remove(platform.ServersTable, string(database.ID))
			return
		}
		if row := database.Registration(address); !bytes.Equal(row, last) {
			d.store.put(platform.ServersTable, string(database.ID), row)
			d.record.printf("the store has acknowledged %s", row)
			last = row
		}
	}
}

// pause waits and reports whether the deployment was stopped.
func (d *deployment) pause(wait time.Duration) (stopped bool) {
	select {
	case <-d.stopped:
		return true
	case <-time.After(wait):
		return false
	}
}

func (d *deployment) close() {
	select {
	case <-d.stopped:
		return
	default:
		close(d.stopped)
	}
	for _, m := range d.machines {
		m.end(syscall.SIGKILL)
	}
	for _, closer := range d.closers {
		closer()
	}
}

func zone(n int) string { return []string{"chc-depot", "dud-depot", "wlg-depot"}[n%3] }

func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return strconv.Itoa(listener.Addr().(*net.TCPAddr).Port), nil
}

// newMachine writes the settings of a machine, which has a loopback address of its own.
func (d *deployment) newMachine(n int, store, promotions string) (*machine, error) {
	// Runs at the same time use different loopback addresses.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, 11+n)
	var ports [3]string
	for p := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[p] = port
	}
	m := &machine{
		deployment: d, name: fmt.Sprintf("front-%s-%d", zone(n), n+1), ip: ip, clients: net.JoinHostPort(ip, ports[0]),
		ready: net.JoinHostPort(ip, ports[1]), settings: filepath.Join(d.folder, fmt.Sprintf("node-%d.toml", n+1)), out: true,
	}
	link, err := newStoreLink(store)
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, func() { _ = link.listener.Close() })
	m.storeLink = link
	text := standin.SettingsFile(state.InstanceID(m.name), standin.Addresses{
		Clients: m.clients, Ready: m.ready, Store: link.address(), Promotions: promotions, PeerPort: ports[2], Zone: zone(n),
		Zones: []string{zone(0), zone(1), zone(2)}, GraceS: graceS,
	})
	text = strings.Replace(text, `Ip = "127.0.0.1"`, fmt.Sprintf("Ip = %q", ip), 1)
	return m, os.WriteFile(m.settings, []byte(text), 0o600)
}

// run keeps the process running.
func (m *machine) run() {
	for !m.deployment.pause(time.Millisecond) {
		m.mu.Lock()
		off := time.Until(m.offUntil)
		m.mu.Unlock()
		if off > 0 {
			m.deployment.pause(off)
			continue
		}
		if err := m.startProcess(); err != nil {
			m.deployment.record.printf("%s: start failed: %v", m.name, err)
		} else {
			<-m.exited
			m.deployment.record.printf("%s: the process has ended", m.name)
		}
		m.deployment.pause(restartDelay)
	}
}

func (m *machine) startProcess() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	process := exec.Command(m.deployment.program, "entry", "--metrics-port", metricsPort) //nolint:gosec // the program under test
	process.Env = append(os.Environ(), "CYCLAMENPIN_CONFIG="+m.settings)
	log, err := os.OpenFile(m.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited, m.startedAt = process, exited, time.Now()
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	go m.watchMemory(process, exited)
	m.deployment.record.printf("%s: started, process %d", m.name, process.Process.Pid)
	return nil
}

// watchMemory kills the process when it exceeds its memory limit, as the platform does.
func (m *machine) watchMemory(process *exec.Cmd, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentMemory(process.Process.Pid)
		m.mu.Lock()
		m.peak = max(m.peak, used)
		over := used > memoryLimitBytes
		if over {
			m.kills++
		}
		m.mu.Unlock()
		if over {
			m.deployment.record.printf("%s: %d MB are in use, more than MemoryMb, the platform kills the process", m.name, used>>20)
			_ = process.Process.Kill()
			return
		}
	}
}

// recordLog copies the lines of the machine's log that hold a text to the record.
func (m *machine) recordLog(text string) {
	log, err := os.ReadFile(m.settings + ".log")
	if err != nil {
		m.deployment.record.printf("%s: its log can't be read: %v", m.name, err)
		return
	}
	for line := range strings.SplitSeq(string(log), "\n") {
		if strings.Contains(line, text) {
			m.deployment.record.printf("%s logged: %s", m.name, line)
		}
	}
}

// residentMemory returns the memory that a process uses, 0 if it has ended.
func residentMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// end sends a signal to the process, if it runs.
func (m *machine) end(signal syscall.Signal) {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(signal)
	<-exited
}

// losePower ends the machine's process and keeps it from starting for a while.
func (m *machine) losePower(duration time.Duration) {
	m.mu.Lock()
	m.offUntil = time.Now().Add(duration)
	m.mu.Unlock()
	m.deployment.record.printf("%s: loses power for %v", m.name, duration)
	m.end(syscall.SIGKILL)
}

// inTouch reports whether the machine's process had run for StableMs at a moment.
func (m *machine) inTouch(moment time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return moment.Sub(m.startedAt) >= stableTime && moment.After(m.offUntil)
}

// probe asks for the machine's readiness each second, as the platform does.
func (m *machine) probe() {
	client := &http.Client{Timeout: time.Second}
	for !m.deployment.pause(time.Second) {
		response, err := client.Get("http://" + m.ready + platform.ReadyPath)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		m.mu.Lock()
		if m.misses++; ready {
			m.misses, m.out = 0, false
		}
		m.out = m.out || m.misses >= 2
		m.mu.Unlock()
	}
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.out
}

// choose returns the machine in rotation that a requester's hash selects, nil if there is
// none.
func (d *deployment) choose(requester int) *machine {
	var usable []*machine
	for _, m := range d.machines {
		if m.inRotation() {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[requester%len(usable)]
}

// awaitRotation waits until all machines are in rotation.
func (d *deployment) awaitRotation() bool {
	for deadline := time.Now().Add(rotationLimit); time.Now().Before(deadline); d.pause(50 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if m.inRotation() {
				ready++
			}
		}
		if ready == machines {
			return true
		}
	}
	return false
}
