package database

import (
	"context"
	"fmt"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// groupSize is the default number of databases in a group.
const groupSize = 3

// GroupOptions holds the options of a group of databases.
type GroupOptions struct {
	ID state.GroupID
	// Databases holds the options of each database; the first becomes the
	// primary. Empty means three databases with default options.
	Databases []Options
}

// Group is a running group of databases.
type Group struct {
	id      state.GroupID
	servers []*Server
}

// StartGroup starts the databases and makes all others follow the first.
func StartGroup(ctx context.Context, options GroupOptions) (*Group, error) {
	members := append([]Options(nil), options.Databases...)
	if len(members) == 0 {
		members = make([]Options, groupSize)
	}
	group := &Group{id: options.ID}
	for i, member := range members {
		if member.ID == "" {
			member.ID = state.DatabaseID(fmt.Sprintf("%s-%d", options.ID, i+1))
		}
		member.Primary = i == 0
		server, err := Start(ctx, member)
		if err != nil {
			group.Close()
			return nil, err
		}
		group.servers = append(group.servers, server)
	}
	primary := group.servers[0]
	for _, server := range group.servers[1:] {
		if _, err := server.Follow(primary.Status().Term, primary.options.ID, primary.Addr()); err != nil {
			group.Close()
			return nil, err
		}
	}
	return group, nil
}

// Servers returns the databases in the order of the options.
func (g *Group) Servers() []*Server {
	return g.servers
}

// Server returns the database with an id, or nil if there is none.
func (g *Group) Server(id state.DatabaseID) *Server {
	for _, server := range g.servers {
		if server.options.ID == id {
			return server
		}
	}
	return nil
}

// Describe returns the group in the form in which the platform records it. Its
// primary is the primary of the highest term.
func (g *Group) Describe() state.Group {
	group := state.Group{ID: g.id}
	for _, server := range g.servers {
		group.Databases = append(group.Databases, server.Describe())
		status := server.Status()
		if status.Role == state.RolePrimary && status.Term >= group.Term {
			group.Term, group.Primary = status.Term, status.Database
		}
	}
	return group
}

// Close stops all databases.
func (g *Group) Close() {
	for _, server := range g.servers {
		server.Close()
	}
}
