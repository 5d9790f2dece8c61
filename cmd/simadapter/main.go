// Command simadapter connects the decision module to the operators' simulator through standard input and output. It runs
// any number of instances of the module, maintains the endpoint list of each, and translates events and actions. All
// decisions are the module's.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"alderproxy/internal/simcodec"
)

// bufferSize is the size of the input's and the output's buffer, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to each batch of events with a batch of actions, until the input ends.
func run(in io.Reader, out io.Writer) error {
	decoder := simcodec.NewDecoder(bufio.NewReaderSize(in, bufferSize))
	host := host{instances: map[uint16]*instance{}}
	replies := bufio.NewWriterSize(out, bufferSize)
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		actions, err := host.step(batch)
		if err != nil {
			return fmt.Errorf("batch at clock %d: %w", batch.Clock, err)
		}
		if err := simcodec.WriteActions(replies, actions); err != nil {
			return err
		}
		if err := replies.Flush(); err != nil {
			return fmt.Errorf("flush reply: %w", err)
		}
	}
}
