// Package gossip runs the group membership protocol over UDP. Its Node passes received datagrams and the current time
// to the state machine of package membership and carries out the actions that the state machine returns.
package gossip
