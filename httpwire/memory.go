package httpwire

import (
	"container/list"
	"errors"
	"sync"
	"sync/atomic"
)

// unreservedRequestBytes is the size up to which a request reserves no memory: the read buffer of its connection is as large.
const unreservedRequestBytes = readBufferSize

// errMemoryExhausted is the error of a request that was rejected because requests hold all the memory that they may.
var errMemoryExhausted = errors.New("too much memory is held by requests")

// RequestMemory limits the memory that requests hold together, from their first byte until their response has been written.
// Servers may share one. Requests of up to unreservedRequestBytes do not count: their number is limited by that of connections.
type RequestMemory struct {
	limit atomic.Int64 // bytes

	// mu guards everything below and the fields of all reservations.
	mu sync.Mutex
	// changed is signaled after each release, eviction and change of the limit.
	changed *sync.Cond
	// reservedBytes is the memory that all requests have reserved, and evictedBytes the part of it that belongs to evicted
	// requests, which are about to release it.
	reservedBytes, evictedBytes int64
	// reading holds the reservations of the requests that are being read, in the order in which they began to reserve.
	reading *list.List
}

// NewRequestMemory returns a RequestMemory with a limit in bytes.
func NewRequestMemory(limit int64) *RequestMemory {
	m := &RequestMemory{reading: list.New()}
	m.changed = sync.NewCond(&m.mu)
	m.limit.Store(limit)
	return m
}

// SetLimit replaces the limit. Requests that hold more than the new one keep their memory.
func (m *RequestMemory) SetLimit(limit int64) {
	m.limit.Store(limit)
	m.changed.Broadcast()
}

// ReservedBytes returns the memory that requests have reserved.
func (m *RequestMemory) ReservedBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reservedBytes
}

// reservation is the memory that the current request of a connection has reserved. It is used by the connection's goroutine.
type reservation struct {
	memory *RequestMemory // nil: there is no limit
	// interrupt ends the reading of the request. Another request's goroutine calls it, at most once.
	interrupt func()
	// requestBytes is the size of what has been read, including the part for which nothing is reserved.
	requestBytes int64

	// Guarded by the lock of memory.
	reservedBytes int64
	position      *list.Element // in memory.reading; nil: nothing is reserved, the request has been read, or it was evicted
	evicted       bool
}

// reserve reserves memory for the next bytes of a request. If the limit is reached, it evicts the requests that have been read
// for the longest time and waits until they have released their memory: usual requests arrive within milliseconds, and those of
// clients that stop in the middle stay. It returns errMemoryExhausted if that is this request, or if it was evicted itself.
func (r *reservation) reserve(size int) error {
	if r == nil || r.memory == nil {
		return nil
	}
	r.requestBytes += int64(size)
	if r.isSmall() {
		return nil
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.memory.reserveLocked(r, r.requestBytes-r.reservedBytes)
}

// isSmall reports whether so little of the request has been read that it reserves no memory.
func (r *reservation) isSmall() bool { return r.requestBytes <= unreservedRequestBytes }

func (m *RequestMemory) reserveLocked(r *reservation, size int64) error {
	if r.position == nil && !r.evicted {
		r.position = m.reading.PushBack(r)
	}
	for !r.evicted && m.reservedBytes+size > m.limit.Load() {
		if m.reservedBytes-m.evictedBytes+size > m.limit.Load() {
			m.evictLocked(m.reading.Front().Value.(*reservation))
			continue
		}
		m.changed.Wait()
	}
	if r.evicted {
		return errMemoryExhausted
	}
	m.reservedBytes += size
	r.reservedBytes += size
	return nil
}

// evictLocked ends the reading of a request.
func (m *RequestMemory) evictLocked(r *reservation) {
	m.reading.Remove(r.position)
	r.position = nil
	r.evicted = true
	m.evictedBytes += r.reservedBytes
	r.interrupt()
	m.changed.Broadcast()
}

// finishReading marks the request as read, so that it is not evicted any more. It returns errMemoryExhausted if the request was
// evicted before.
func (r *reservation) finishReading() error {
	if r.isSmall() {
		return nil
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.evicted {
		return errMemoryExhausted
	}
	r.memory.leaveReadingLocked(r)
	return nil
}

// release releases the memory of the request. It may be called more than once.
func (r *reservation) release() {
	if r.isSmall() {
		return
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaveReadingLocked(r)
	m.reservedBytes -= r.reservedBytes
	if r.evicted {
		m.evictedBytes -= r.reservedBytes
	}
	r.reservedBytes = 0
	r.requestBytes = 0
	m.changed.Broadcast()
}

func (m *RequestMemory) leaveReadingLocked(r *reservation) {
	if r.position != nil {
		m.reading.Remove(r.position)
		r.position = nil
	}
}
