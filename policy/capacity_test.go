package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An aggregator may have at least two attempts in flight at a server, and more if few aggregators share the server.
func TestConcurrencyLimitDependsOnTheInstanceCount(t *testing.T) {
	for instances, limit := range map[int]int{1: 6, 2: 3, 3: 2, 32: 2} {
		s := fullReplicationSettings()
		s.InstanceCount = instances
		h := newHarness(t, s, readyEndpoints(1)...)
		for range 9 {
			_, events := h.newQuery(idempotentClass, 1)
			h.step(0, events...)
		}
		assert.Len(t, actionsOf[SendAttempt](h.actions), limit, "%d aggregators", instances)
	}
}
