package storepool

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
)

// input is the receiving side of an established connection.
type input struct {
	*bufio.Reader

	raw syscall.RawConn // nil if the connection gives no access to its descriptor
}

func newInput(netConn net.Conn) *input {
	in := &input{Reader: bufio.NewReaderSize(netConn, readBufferSize)}
	if sysConn, ok := netConn.(syscall.Conn); ok {
		in.raw, _ = sysConn.SyscallConn()
	}
	return in
}

// await waits until bytes or the end of the stream have arrived, and then calls arrived while it holds the lock. They are not
// read before, so that whoever holds the lock and finds that nothing has arrived knows that arrived was not called for what
// arrives later. Without access to the descriptor, they may be read before.
func (in *input) await(lock sync.Locker, arrived func()) error {
	if in.raw == nil || in.Buffered() > 0 {
		if _, err := in.Peek(1); err != nil {
			return err
		}
		lock.Lock()
		defer lock.Unlock()
		arrived()
		return nil
	}
	return in.raw.Read(func(fd uintptr) bool {
		lock.Lock()
		defer lock.Unlock()
		if !hasArrived(int(fd)) {
			return false
		}
		arrived()
		return true
	})
}

// hasArrived reports whether bytes, the end of the stream or an error have arrived that were not read yet. It reports false
// without access to the descriptor.
func (in *input) hasArrived() (arrived bool) {
	if in.raw == nil {
		return false
	}
	closed := in.raw.Control(func(fd uintptr) { arrived = hasArrived(int(fd)) })
	return arrived || closed != nil
}

// hasArrived is input.hasArrived for a descriptor.
func hasArrived(fd int) bool {
	for {
		_, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return !errors.Is(err, syscall.EAGAIN)
		}
	}
}
