package main

import (
	"net"
	"sync"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

// server is the machine of a database. The database may start again there without what it
// held.
type server struct {
	address, zone string

	mu       sync.Mutex
	database *standin.Database
	// cutOff is set while the machine can't reach the store.
	cutOff bool
}

// addServer lets a database listen on an address.
func (c *cluster) addServer(d *standin.Database, address, zone string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &server{address: address, zone: zone}
	s.run(d)
	c.servers = append(c.servers, s)
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go s.current().ServeConn(raw, "")
		}
	}()
	return nil
}

// run makes a database the one that runs on the machine.
func (s *server) run(d *standin.Database) {
	d.Address = s.address
	d.SetDataCentre(s.zone)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.database = d
}

// current returns the database that runs on the machine.
func (s *server) current() *standin.Database {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.database
}

// setCutOff cuts the machine off from the store, or ends that.
func (s *server) setCutOff(cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff = cutOff
}

// registers reports whether the database writes its entry.
func (s *server) registers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cutOff && s.database.Running()
}

// serverOf returns the machine on which a database runs.
func (c *cluster) serverOf(d *standin.Database) *server {
	for _, s := range c.servers {
		if s.current() == d {
			return s
		}
	}
	return nil
}
