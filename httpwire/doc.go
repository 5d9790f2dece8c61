// Package httpwire reads and writes HTTP/1.1 messages on buffered streams, and serves them with one goroutine per connection.
// Bodies are read completely, whether they have a length, are chunked or end with the stream, and are not interpreted. Routing
// is up to the server's handler.
package httpwire
