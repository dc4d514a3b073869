// Package backend connects to the databases of groups, the backend servers. A
// Conn carries raw protocol messages for a caller's statements. A Control queries
// a database's status and changes its term and role.
package backend
