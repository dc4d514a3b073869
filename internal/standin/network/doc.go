// Package network is a stand-in for the network between data centres: its
// connections carry bytes with a one-way delay, in order and without a limit on
// their rate, and two places can be partitioned from each other, in one direction
// or both, until the path is healed. Bytes sent during a partition are held and
// delivered once the path is healed, as TCP would retransmit them.
//
// A place is the name of a location, such as a data centre. Each place has an IP
// address of its own in 127.0.0.0/8 on which its servers listen, so that the
// dialled address identifies the place. Delays and partitions apply at the client
// end, in connections opened by a Dialer: a server needs no change.
package network
