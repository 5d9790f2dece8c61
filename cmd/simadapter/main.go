// Command simadapter connects the decision module with the operators' simulator: it runs any number of instances of the
// module, keeps the endpoint list of each, and translates events and actions. It decides nothing.
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

// run answers batches of events until the input ends.
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
			return fmt.Errorf("read events: %w", err)
		}
		actions, err := host.step(batch)
		if err != nil {
			return fmt.Errorf("at clock %d: %w", batch.Clock, err)
		}
		if err := simcodec.WriteActions(replies, actions); err != nil {
			return err
		}
		if err := replies.Flush(); err != nil {
			return fmt.Errorf("flush reply: %w", err)
		}
	}
}
