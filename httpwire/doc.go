// Package httpwire reads and writes HTTP/1.1 messages on buffered streams, and serves them with one goroutine a connection.
// Bodies have a length or are chunked, and are kept as the bytes that came. It knows no routes.
package httpwire
