package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"alderproxy/internal/simnet"
)

// A fact must reach all members despite loss, be replaced by its next version, and expire after its TTL. A member must
// not store more facts than MaxFacts.
func TestFactsReachAllMembersAndExpire(t *testing.T) {
	t.Parallel()
	const size, publisher = 50, 4
	c := newCluster(t, 12, size, simnet.Link{MinDelay: 300, MaxDelay: 5000, LossRate: 0.1})
	c.waitForAgreement(size, 60*second)
	holders := func(value string) int {
		count := 0
		for observer := range c.nodes {
			member, _ := c.memberSeenBy(observer, publisher)
			for _, fact := range member.Facts {
				if fact.Name == "list" && fact.Value == value {
					count++
				}
			}
		}
		return count
	}
	c.nodes[publisher].step(PublishFact{Name: "list", Value: "v1", TTL: 60 * second})
	c.nodes[publisher].step(PublishFact{Name: "list", Value: "v2", TTL: 60 * second})
	c.run(15 * second)
	assert.Equal(t, size, holders("v2"))
	assert.Zero(t, holders("v1"))
	c.run(60 * second)
	assert.Zero(t, holders("v2"))
	for i := range 20 {
		c.nodes[publisher].step(PublishFact{Name: fmt.Sprint("f", i), Value: "x", TTL: second})
	}
	assert.LessOrEqual(t, len(c.nodes[publisher].self.facts), MaxFacts)
}

// Facts that were published before a member joined are no longer disseminated. The member must receive them by
// synchronization.
func TestJoiningMemberReceivesFacts(t *testing.T) {
	t.Parallel()
	const size, joining, firstVersion = 20, 19, 40
	c := newConvergedCluster(t, 17, size)
	for i := range joining {
		c.nodes[i].step(DocumentVersionFact.Publish(uint64(firstVersion+i), 600*second))
	}
	c.run(30 * second)
	c.kill(joining)
	c.run(second)
	c.revive(joining)
	c.run(20 * second)
	for i := range joining {
		member, _ := c.memberSeenBy(joining, i)
		version, ok := DocumentVersionFact.Value(member)
		assert.True(t, ok, "%s", nameOf(i))
		assert.Equal(t, uint64(firstVersion+i), version)
	}
}

// Guards against a fact that only its publisher knows, because the other members ignore its TTL.
func TestFactWithLongTTLReachesAllMembers(t *testing.T) {
	t.Parallel()
	const size, publisher, published = 5, 1, 7
	c := newConvergedCluster(t, 18, size)
	tombstoneTTL := c.nodes[publisher].TombstoneTTL
	c.nodes[publisher].step(DocumentVersionFact.Publish(published, 2*tombstoneTTL))
	c.run(15 * second)
	for observer := range size {
		member, _ := c.memberSeenBy(observer, publisher)
		version, _ := DocumentVersionFact.Value(member)
		assert.Equal(t, uint64(published), version, nameOf(observer))
	}
	c.run(tombstoneTTL)
	member, _ := c.memberSeenBy(publisher, publisher)
	_, known := DocumentVersionFact.Value(member)
	assert.False(t, known, "the fact expires at its publisher when it does elsewhere")
}
