package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Datagrams may be duplicated and reordered: each number must be accepted once, and none below the window.
func TestReplayWindow(t *testing.T) {
	var window replayWindow
	for _, step := range []struct {
		number   uint32
		accepted bool
	}{
		{1, true},
		{1, false},
		{3, true},
		{2, true},
		{2, false},
		{100, true},
		{36, false},
		{37, true},
		{37, false},
		{99, true},
		{200, true},
		{100, false},
	} {
		assert.Equal(t, step.accepted, window.accept(step.number), "message %d", step.number)
	}
}
