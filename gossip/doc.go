// Package gossip is the UDP transport of the group membership protocol and the node around it: it runs the socket and
// the clock for the state machine of package membership and carries out the actions that this returns.
package gossip
