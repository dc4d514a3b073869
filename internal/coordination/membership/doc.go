// Package membership decides which instances are available for work, and
// selects the owners of each backend server among them.
//
// It combines the platform's list of instances, which may be out of date, with
// what this process has observed itself: failed connections, successful
// connections, and peers that announced that they are leaving. It sends no
// heartbeats, so the only cost per instance that grows with the number of
// instances is that of reading the list. See docs/design/membership.md.
package membership
