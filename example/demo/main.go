// Command demo runs the services that are needed to try alderproxy on one machine: discovery, two stores that speak the
// platform's frame protocol and two that answer searches. Every store holds every shard and answers after storeLatency.
package main

import (
	"bufio"
	"context"
	"fmt"
	"log"
	"net"
	"time"
)

// storeLatency is the time that a store takes to answer.
const storeLatency = 20 * time.Millisecond

// handler answers one request on a connection.
type handler func(c net.Conn, r *bufio.Reader) error

func main() {
	for addr, answer := range map[string]handler{
		"127.0.0.1:8500": answerDiscovery,
		"127.0.0.1:8601": answerFrame,
		"127.0.0.1:8602": answerFrame,
		"127.0.0.1:9301": answerSearch,
		"127.0.0.1:9302": answerSearch,
	} {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
		if err != nil {
			log.Fatalf("demo: %v", err)
		}
		go func() { log.Fatalf("demo: %v", serve(l, answer)) }()
	}
	log.Print("demo: discovery on 8500, frame stores on 8601 and 8602, search stores on 9301 and 9302")
	select {}
}

// serve accepts connections and answers their requests until the listener fails.
func serve(l net.Listener, answer handler) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				if err := answer(c, r); err != nil {
					return
				}
			}
		}()
	}
}
