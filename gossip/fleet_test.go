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

type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// node starts a member at a fifth of the usual times, on a port that the kernel picks.
func node(t *testing.T, name string, key string, seeds ...netip.AddrPort) (*Node, netip.AddrPort, *lines) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	log, out := logrus.New(), &lines{}
	log.SetOutput(out)
	n, err := Open(Config{
		Member: membership.Config{Name: name, Addr: addr, Seeds: seeds, ProbeInterval: 200_000, SuspicionTimeout: 1_600_000, MaxSendRate: 100, TombstoneTTL: 60_000_000},
		Group:  "test", Key: []byte(key), Conn: conn, Log: logrus.NewEntry(log),
	})
	require.NoError(t, err)
	return n, addr, out
}

func alive(n *Node) (all []string) {
	for _, m := range n.View().Members {
		if m.State <= membership.Suspect {
			all = append(all, m.Name)
		}
	}
	return all
}

func eventually(t *testing.T, what string, ok func() bool) {
	require.Eventually(t, ok, 20*time.Second, 10*time.Millisecond, what)
}

// A process that is gone is told by the system: nothing listens there. That is found out sooner than silence.
func TestRefusedDatagramsShortenADeath(t *testing.T) {
	a, at, _ := node(t, "a", "")
	defer a.Close()
	var all []*Node
	for _, name := range []string{"b", "c", "d"} {
		n, _, _ := node(t, name, "", at)
		all = append(all, n)
	}
	defer all[1].Close()
	defer all[2].Close()
	eventually(t, "all there", func() bool { return len(alive(a)) == 4 && len(alive(all[1])) == 4 && len(alive(all[2])) == 4 })
	require.NoError(t, all[0].Close()) // its socket is closed without a word
	began := time.Now()
	eventually(t, "b is gone", func() bool { return slices.Equal(alive(a), []string{"a", "c", "d"}) })
	took := time.Since(began)
	t.Logf("gone after %v; by silence alone it is 1.6 s at least", took)
	assert.Less(t, took, 1600*time.Millisecond)
	b, ok := a.View().Find("b")
	assert.True(t, ok)
	assert.Equal(t, membership.Dead, b.State)
}

// What does not come from this group changes nothing, is counted by kind and said once.
func TestForeignDatagramsChangeNothing(t *testing.T) {
	a, at, log := node(t, "a", "the key of this group")
	defer a.Close()
	wrong, _, _ := node(t, "b", "the key of another", at)
	defer wrong.Close()
	c, err := net.Dial("udp4", at.String())
	require.NoError(t, err)
	defer c.Close()
	whole := membership.NewCodec("test", []byte("the key of this group")).AppendEncode(nil, membership.Message{Kind: membership.KindLeave, Sender: membership.IDFromName("z"), Generation: 1, MessageNumber: 1})
	foreign := membership.NewCodec("elsewhere", nil).AppendEncode(nil, membership.Message{Kind: membership.KindLeave, Sender: 7})
	later := slices.Clone(whole)
	later[0]++
	for _, b := range [][]byte{nil, []byte("x"), make([]byte, 4000), whole[:len(whole)-1], append(slices.Clone(whole), 0), foreign, later, whole, whole} {
		c.Write(b)
	}
	eventually(t, "counted", func() bool {
		s := a.Status()
		return s.Datagrams.Malformed >= 3 && s.Datagrams.OtherGroup == 1 && s.Datagrams.UnknownVersion == 1 && s.Datagrams.Unauthenticated > 2
	})
	assert.Equal(t, []string{"a"}, alive(a))
	eventually(t, "said", func() bool { return strings.Contains(log.String(), "datagrams dropped") })
	assert.Equal(t, 1, strings.Count(log.String(), "datagrams dropped"), "%s", log)
}

// A flood from one that knows the key is taken as far as there is room; the member goes on.
func TestAFloodIsBounded(t *testing.T) {
	a, at, _ := node(t, "a", "")
	defer a.Close()
	b, _, _ := node(t, "b", "", at)
	defer b.Close()
	eventually(t, "both there", func() bool { return len(alive(a)) == 2 && len(alive(b)) == 2 })
	c, err := net.Dial("udp4", at.String())
	require.NoError(t, err)
	defer c.Close()
	codec := membership.NewCodec("test", nil)
	for i := range 20_000 {
		c.Write(codec.AppendEncode(nil, membership.Message{Kind: membership.KindPing, Sender: membership.ID(i + 1), Generation: 1, MessageNumber: 1, ProbeNumber: 1}))
	}
	before := a.Status().Datagrams
	eventually(t, "still there", func() bool { now := a.Status().Datagrams; return now.Received > before.Received+20 })
	assert.Equal(t, []string{"a", "b"}, alive(a))
	s := a.Status().Datagrams
	t.Logf("%d taken, %d dropped, %d answered", s.Received, s.QueueFull, s.Sent)
	assert.Less(t, s.Sent, uint64(2000), "answers keep the budget")
}

// A fact reaches another and can be read by its type; one that is taken back is gone.
func TestFacts(t *testing.T) {
	a, at, _ := node(t, "a", "")
	defer a.Close()
	b, _, _ := node(t, "b", "", at)
	defer b.Close()
	held := func() string {
		m, _ := b.View().Find("a")
		v, ok := membership.DocumentVersion.Value(m)
		return fmt.Sprint(v, ok)
	}
	a.PublishFact(membership.DocumentVersion.Publish(41, 60_000_000))
	eventually(t, "told", func() bool { return held() == "41 true" })
	a.PublishFact(membership.DocumentVersion.Publish(42, 60_000_000))
	eventually(t, "told anew", func() bool { return held() == "42 true" })
	a.PublishFact(membership.DocumentVersion.Withdraw(60_000_000))
	eventually(t, "taken back", func() bool { return held() == "0 false" })
	a.Leave()
	eventually(t, "left", func() bool { m, _ := b.View().Find("a"); return m.State == membership.Left })
}

// Two processes under one name: the one that is there stays, the later one is told.
func TestANameTakenTwice(t *testing.T) {
	a, at, _ := node(t, "a", "")
	defer a.Close()
	b, bt, _ := node(t, "b", "", at)
	defer b.Close()
	eventually(t, "both there", func() bool { return len(alive(a)) == 2 && len(alive(b)) == 2 })
	first := a.Status().Members[1].StartedUnixMillis
	eventually(t, "another birth", func() bool { return born(birth(time.Now())).UnixMilli() > first })
	twin, _, log := node(t, "b", "", at)
	defer twin.Close()
	eventually(t, "refused", func() bool { return twin.Status().NameTakenBy == bt.String() })
	assert.Contains(t, log.String(), "another instance has this one's name")
	m, _ := a.View().Find("b")
	assert.Equal(t, bt, m.Addr)
	assert.Empty(t, b.Status().NameTakenBy)
}
