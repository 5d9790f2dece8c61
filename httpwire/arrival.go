package httpwire

import "time"

// arrivalResolution is the accuracy of the times at which bytes have arrived. Bytes that arrive within it after others count as
// having arrived with them.
const arrivalResolution = 10 * time.Millisecond

// arrivals records when the bytes in the read buffer of a connection have arrived. Requests that a client sends without waiting for
// responses wait there for their turn, and their time counts from their arrival.
type arrivals struct {
	marks []arrivalMark // in the order of arrival
}

// arrivalMark tells that at some time the buffer held a number of bytes.
type arrivalMark struct {
	buffered int
	at       time.Time
}

// note records how many bytes the buffer holds now. Fewer than at the last mark mean that the buffer has been replaced and is about
// to hold the same bytes again.
func (a *arrivals) note(buffered int, now time.Time) {
	last := len(a.marks) - 1
	switch {
	case buffered == 0 || last >= 0 && buffered <= a.marks[last].buffered:
	case last >= 0 && now.Sub(a.marks[last].at) < arrivalResolution:
		a.marks[last].buffered = buffered
	default:
		a.marks = append(a.marks, arrivalMark{buffered, now})
	}
}

// first returns the time at which the first byte in the buffer has arrived, or now if that is not known.
func (a *arrivals) first(now time.Time) time.Time {
	if len(a.marks) == 0 {
		return now
	}
	return a.marks[0].at
}

// consume records that a request has been read, before which the buffer held a number of bytes, and another number after it. If the
// rest of the request had to be read from the connection, all that remains has arrived just now.
func (a *arrivals) consume(before, after int, now time.Time) {
	consumed := before - after
	var remaining []arrivalMark
	for _, mark := range a.marks {
		if mark.buffered -= consumed; consumed > 0 && mark.buffered > 0 {
			remaining = append(remaining, mark)
		}
	}
	a.marks = remaining
	a.note(after, now)
}
