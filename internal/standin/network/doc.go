// Package network is a stand-in for the network between data centres: its
// connections carry bytes with a one-way delay, in order and without a limit
// on their rate, and the path between two places can be cut and healed, in one
// direction or both. What is sent on a cut path is held and delivered once the
// path is healed, as TCP would retransmit it.
//
// A place is a name, such as a data centre. Each place has an IP address of
// its own in 127.0.0.0/8 on which its servers listen, so that the address that
// is dialled tells the place. Only opened connections are delayed: a server
// needs no change.
package network
