package gossip

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"alderproxy/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// logBuffer collects the log of a node. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const (
	// testSuspicionTimeout is a fifth of the default, like the other times of test nodes.
	testSuspicionTimeout = 1600 * time.Millisecond
	testFactTTL          = time.Minute
)

// testNode is a node together with its address and its log.
type testNode struct {
	*Node
	addr netip.AddrPort
	log  *logBuffer
}

// startNode starts a node on a free port. The caller must close it.
func startNode(t *testing.T, name, key string, seeds ...netip.AddrPort) *testNode {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	output := &logBuffer{}
	log := logrus.New()
	log.SetOutput(output)
	node, err := Open(Config{
		Member: membership.Config{
			Name:             name,
			Addr:             addr,
			Seeds:            seeds,
			ProbeInterval:    200 * time.Millisecond.Microseconds(),
			SuspicionTimeout: testSuspicionTimeout.Microseconds(),
			MaxSendRate:      100,
			TombstoneTTL:     time.Minute.Microseconds(),
		},
		Group: "test",
		Key:   []byte(key),
		Conn:  conn,
		Log:   logrus.NewEntry(log),
	})
	require.NoError(t, err)
	return &testNode{Node: node, addr: addr, log: output}
}

// closeAtEnd closes a node at the end of the test.
func (n *testNode) closeAtEnd(t *testing.T) {
	t.Helper()
	t.Cleanup(func() { assert.NoError(t, n.Close()) })
}

func presentNames(n *testNode) []string {
	var names []string
	for _, member := range n.View().Members {
		if member.State.Present() {
			names = append(names, member.Name)
		}
	}
	return names
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, 10*time.Millisecond, what)
}

func dial(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "udp4", addr.String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// When a process ends without a leave message, the kernel's port unreachable errors must make the others declare it dead
// sooner than the suspicion timeout would.
func TestPortUnreachableSpeedsUpDetection(t *testing.T) {
	a := startNode(t, "a", "")
	a.closeAtEnd(t)
	b := startNode(t, "b", "", a.addr)
	c := startNode(t, "c", "", a.addr)
	c.closeAtEnd(t)
	d := startNode(t, "d", "", a.addr)
	d.closeAtEnd(t)
	eventually(t, "all members are present", func() bool {
		return len(presentNames(a)) == 4 && len(presentNames(c)) == 4 && len(presentNames(d)) == 4
	})
	require.NoError(t, b.Close()) // closes its socket without a leave message
	closedAt := time.Now()
	eventually(t, "b is dead", func() bool { return slices.Equal(presentNames(a), []string{"a", "c", "d"}) })
	elapsed := time.Since(closedAt)
	t.Logf("declared dead after %v; the suspicion timeout alone would take at least %v", elapsed, testSuspicionTimeout)
	assert.Less(t, elapsed, testSuspicionTimeout, "time until b was declared dead")
	member, found := a.View().Find("b")
	assert.True(t, found)
	assert.Equal(t, membership.StateDead, member.State)
}

// Datagrams that are malformed, or of another group, key or version, must not change the membership. They must be
// counted by cause, and must not flood the log.
func TestForeignDatagramsAreDropped(t *testing.T) {
	const key = "the key of this group"
	a := startNode(t, "a", key)
	a.closeAtEnd(t)
	otherKey := startNode(t, "b", "the key of another", a.addr)
	otherKey.closeAtEnd(t)
	conn := dial(t, a.addr)
	leave := membership.Message{Kind: membership.KindLeave, Sender: membership.IDFromName("z"), Generation: 1, MessageNumber: 1}
	valid := membership.NewCodec("test", []byte(key)).AppendEncode(nil, leave)
	otherGroup := membership.NewCodec("elsewhere", nil).AppendEncode(nil, membership.Message{Kind: membership.KindLeave, Sender: 7})
	otherVersion := slices.Clone(valid)
	otherVersion[0]++
	datagrams := [][]byte{
		nil,
		[]byte("x"),
		make([]byte, 4000),
		valid[:len(valid)-1],
		append(slices.Clone(valid), 0),
		otherGroup,
		otherVersion,
		valid,
		valid,
	}
	for _, datagram := range datagrams {
		_, err := conn.Write(datagram)
		require.NoError(t, err)
	}
	eventually(t, "all dropped datagrams are counted by cause", func() bool {
		counts := a.Status().Datagrams
		return counts.Malformed >= 3 && counts.OtherGroup == 1 && counts.UnknownVersion == 1 && counts.Unauthenticated > 2
	})
	assert.Equal(t, []string{"a"}, presentNames(a))
	eventually(t, "dropped datagrams are logged", func() bool { return strings.Contains(a.log.String(), "datagrams dropped") })
	assert.Equal(t, 1, strings.Count(a.log.String(), "datagrams dropped"), "%s", a.log)
}

// A flood of valid messages must not make a member send more acks than its send budget allows, or make it lose the other
// members from its view. What exceeds the receive queue is dropped.
func TestFloodIsBounded(t *testing.T) {
	a := startNode(t, "a", "")
	a.closeAtEnd(t)
	b := startNode(t, "b", "", a.addr)
	b.closeAtEnd(t)
	eventually(t, "both members are present", func() bool { return len(presentNames(a)) == 2 && len(presentNames(b)) == 2 })
	conn := dial(t, a.addr)
	codec := membership.NewCodec("test", nil)
	for i := range 20_000 {
		ping := membership.Message{
			Kind:          membership.KindPing,
			Sender:        membership.ID(i + 1),
			Generation:    1,
			MessageNumber: 1,
			ProbeNumber:   1,
		}
		_, err := conn.Write(codec.AppendEncode(nil, ping))
		require.NoError(t, err)
	}
	before := a.Status().Datagrams
	eventually(t, "a still receives messages after the flood", func() bool { return a.Status().Datagrams.Received > before.Received+20 })
	assert.Equal(t, []string{"a", "b"}, presentNames(a))
	counts := a.Status().Datagrams
	t.Logf("%d received, %d dropped, %d sent", counts.Received, counts.QueueFull, counts.Sent)
	assert.Less(t, counts.Sent, uint64(2000), "datagrams sent by a, within its send budget")
}

// A published fact must reach another node with its value, must be replaced by a newer value and must disappear when it
// is withdrawn.
func TestFactsReachOtherNode(t *testing.T) {
	a := startNode(t, "a", "")
	a.closeAtEnd(t)
	b := startNode(t, "b", "", a.addr)
	b.closeAtEnd(t)
	valueAtB := func() string {
		member, _ := b.View().Find("a")
		value, ok := membership.DocumentVersionFact.Value(member)
		return fmt.Sprint(value, ok)
	}
	ttl := testFactTTL.Microseconds()
	a.PublishFact(membership.DocumentVersionFact.Publish(41, ttl))
	eventually(t, "b has the published value", func() bool { return valueAtB() == "41 true" })
	a.PublishFact(membership.DocumentVersionFact.Publish(42, ttl))
	eventually(t, "b has the replaced value", func() bool { return valueAtB() == "42 true" })
	a.PublishFact(membership.DocumentVersionFact.Withdraw(ttl))
	eventually(t, "the fact is withdrawn at b", func() bool { return valueAtB() == "0 false" })
	a.Leave()
	eventually(t, "b knows that a has left", func() bool {
		member, _ := b.View().Find("a")
		return member.State == membership.StateLeft
	})
}

// If two processes have the same name, for instance after a copied configuration, the first one must keep it and the
// later one must learn that it is not a member.
func TestDuplicateName(t *testing.T) {
	a := startNode(t, "a", "")
	a.closeAtEnd(t)
	b := startNode(t, "b", "", a.addr)
	b.closeAtEnd(t)
	eventually(t, "both members are present", func() bool { return len(presentNames(a)) == 2 && len(presentNames(b)) == 2 })
	firstStart := a.Status().Members[1].StartedUnixMillis
	eventually(t, "the current generation is later than b's", func() bool {
		return generationStart(generationAt(time.Now())).UnixMilli() > firstStart
	})
	duplicate := startNode(t, "b", "", a.addr)
	duplicate.closeAtEnd(t)
	eventually(t, "the later process is told the owner of its name", func() bool { return duplicate.Status().NameTakenBy == b.addr.String() })
	assert.Contains(t, duplicate.log.String(), "another instance owns this instance's name")
	member, _ := a.View().Find("b")
	assert.Equal(t, b.addr, member.Addr)
	assert.Empty(t, b.Status().NameTakenBy)
}
