package httpwire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a request in the read buffer whose time counts from the arrival of other bytes than its own.
func TestArrivalOfBufferedRequests(t *testing.T) {
	start := time.Now()
	at := func(milli int) time.Time { return start.Add(time.Duration(milli) * time.Millisecond) }
	var a arrivals
	assert.Equal(t, at(0), a.first(at(0)), "nothing is buffered")
	a.note(100, at(0))
	a.note(150, at(5)) // within arrivalResolution
	a.note(300, at(50))
	a.note(250, at(60)) // the buffer was replaced
	a.note(400, at(70))
	assert.Equal(t, at(0), a.first(at(80)))
	a.consume(400, 260, at(80))
	assert.Equal(t, at(0), a.first(at(80)), "10 of the first 150 bytes remain")
	a.consume(260, 250, at(90))
	assert.Equal(t, at(50), a.first(at(90)))
	a.consume(250, 50, at(100))
	assert.Equal(t, at(70), a.first(at(100)))
	a.consume(50, 30, at(110))
	assert.Equal(t, at(70), a.first(at(110)))
	a.consume(30, 0, at(120))
	assert.Equal(t, at(130), a.first(at(130)), "nothing is buffered any more")
	a.note(10, at(140))
	a.consume(10, 70, at(150)) // the rest of the request, and 70 bytes behind it, came from the connection
	assert.Equal(t, at(150), a.first(at(160)))
}
