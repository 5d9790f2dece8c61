package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A query whose attempts never end must be ended by the timer before its client stops waiting, whatever its class.
func TestEveryQueryEndsBeforeItsTimeout(t *testing.T) {
	for class, settings := range testClasses() {
		h := newHarness(t, fullReplicationSettings())
		id, events := h.newQuery(class, 3)
		h.step(0, events...)
		for end := h.now + settings.Timeout; h.now < end-testTick; {
			h.step(testTick, TimerFired{})
		}
		assert.Equal(t, 1, h.finalActionCount(id), "class %s", settings.Name)
	}
}

// An answer must be marked complete only at the required coverage, which is 1 here, and a query below the minimum
// coverage of 0.8 must get no answer.
func TestAnswerIsCompleteOnlyAtTheRequiredCoverage(t *testing.T) {
	const parts = 5
	for _, answered := range []int{3, 4, 5} {
		h := newHarness(t, fullReplicationSettings(), readyEndpoints(1, 2, 3, 4, 5, 6)...)
		id, events := h.newQuery(fetchClass, parts)
		sent := h.stepSends(0, events...)
		for i := range answered { // some parts are sent only after quick answers
			sent = append(sent, h.stepSends(1000, resultOf(sent[i], OK))...)
		}
		for range 360 {
			h.step(testTick, TimerFired{})
		}
		answers := actionsOf[Answer](h.actions)
		if answered < 4 {
			assert.Empty(t, answers, "%d of %d parts answered", answered, parts)
			continue
		}
		require.Len(t, answers, 1, "%d of %d parts answered", answered, parts)
		assert.Equal(t, Answer{QueryID: id, Complete: answered == parts}, answers[0])
	}
}
