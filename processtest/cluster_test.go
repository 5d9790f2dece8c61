package processtest

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"alderproxy"
	"alderproxy/admin"
	"alderproxy/config"
	"alderproxy/httpwire"
	"alderproxy/internal/faultnet"
	"alderproxy/internal/testserver"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

const documentTemplate = `[layout]
slices = 2
[class lookup]
aim = 3s
give_up = 4s
worth = %d
[index catalogue]
class = lookup
slices = 0-1
`

// cluster is three processes of the program that agree, with both fronts, over a faulty network, and others that follow
// them.
type cluster struct {
	t              *testing.T
	dir            string
	faults         *faultnet.Network
	stalenessBound time.Duration
	gossip         bool // they are members of a fleet
	discovery      *testserver.Discovery
	stores         []*testserver.Store
	instances      map[string]*instance
}

type instance struct {
	name                                string
	cluster                             *cluster
	cmd                                 *exec.Cmd
	peerProxy                           *faultnet.Front // nil: it follows
	gossipProxy                         *faultnet.Post  // nil: it is member of no fleet
	searchAddr, platformAddr, adminAddr string          // addresses
	log                                 *strings.Builder
	mu                                  sync.Mutex
	ended                               chan struct{}
}

// startCluster starts three instances; the first one dies at a step of a change, if one is given.
func startCluster(t *testing.T, bound time.Duration, dieAt string) *cluster {
	return startClusterWithFollowers(t, bound, dieAt, false, 0)
}

// startClusterWithFollowers starts also so many that follow, f1 and on, and has all of them be members of a fleet.
func startClusterWithFollowers(t *testing.T, bound time.Duration, dieAt string, fleet bool, follow int) *cluster {
	r := &cluster{gossip: fleet, t: t, dir: t.TempDir(), faults: faultnet.New(5), stalenessBound: bound, instances: map[string]*instance{}}
	for range 2 {
		s := testserver.NewSearchStore(t, "0 {\"_id\":\"a\",\"_score\":1}\n1 {\"_id\":\"b\",\"_score\":2}\n")
		r.stores = append(r.stores, s)
	}
	frames := testserver.NewFrameStore(t)
	for _, s := range append(r.stores, frames) {
		go func() { // what comes there is of no matter here
			for range s.Parts {
			}
		}()
	}
	r.discovery = testserver.NewDiscovery(t, testserver.Entry("s-1", frames, "in_service"))
	go func() {
		for range r.discovery.Targets {
		}
	}()
	names := []string{"n1", "n2", "n3"}
	for n := range follow {
		names = append(names, fmt.Sprint("f", n+1))
	}
	for k, name := range names {
		i := &instance{name: name, cluster: r}
		if k < 3 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { l.Close() })
			i.peerProxy = r.faults.Front(name, l)
		}
		if fleet {
			var err error
			i.gossipProxy, err = r.faults.Post(name)
			require.NoError(t, err)
			t.Cleanup(func() { i.gossipProxy.Close() })
		}
		r.instances[name] = i
	}
	for _, i := range r.instances { // all addresses are known by now
		i.writeConfig()
	}
	c, err := config.Load(r.instances["n1"].path("ini"))
	require.NoError(t, err)
	_, err = alderproxy.Init(c, fmt.Sprintf(documentTemplate, 1), "test")
	require.NoError(t, err)
	r.instances["n1"].start(dieAt)
	for _, name := range []string{"n2", "n3"} {
		r.instances[name].start("")
		o, err := r.instances["n1"].client().Order(raftnode.Command{Add: &sharedconfig.Member{Name: name, Addr: r.instances[name].peerProxy.Addr()}})
		require.NoError(t, err)
		require.Equal(t, sharedconfig.Done, o.Status, o.Why)
	}
	for _, name := range names[3:] {
		r.instances[name].start("")
	}
	r.waitUntilServing(1, names...)
	return r
}

func (i *instance) path(kind string) string { return filepath.Join(i.cluster.dir, i.name+"."+kind) }

func (i *instance) writeConfig() {
	r := i.cluster
	edge := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, i.name, r.discovery.Addr,
		fmt.Sprintf(testserver.Settings, testserver.Lookup, 0, 15_000_000))
	require.NoError(r.t, os.WriteFile(i.path("json"), []byte(edge), 0o600))
	text := fmt.Sprintf("[instance]\nid = %s\nfolder = %s\nadmin = 127.0.0.1:0\n[gatherer]\nconfig = %s\n[opensearch]\nlisten = 127.0.0.1:0\n"+
		"[agreement]\nstale_after = %s\nspeed = 2\n", i.name, i.path("folder"), i.path("json"), r.stalenessBound)
	if i.peerProxy != nil {
		text += "listen = 127.0.0.1:0\naddress = " + i.peerProxy.Addr() + "\n"
	} else { // one of the voters, by chance of the order, and an address at which nobody is
		text += "follow = 127.0.0.1:1, " + r.instances["n1"].peerProxy.Addr() + ", " + r.instances["n2"].peerProxy.Addr() + "\n"
	}
	if r.gossip { // a fifth of the usual times
		text += fmt.Sprintf("[membership]\nlisten = 127.0.0.1:0\naddress = %s\nseeds = 127.0.0.1:1, %s, %s\nperiod = 200ms\ndatagrams_per_s = 100\nzone = z%d\n",
			i.gossipProxy.Addr(), r.instances["n1"].gossipProxy.Addr(), r.instances["n2"].gossipProxy.Addr(), len(i.name)%2)
	}
	for n, s := range r.stores {
		text += fmt.Sprintf("[store s-%d]\naddr = %s\n", n, s.Addr)
	}
	require.NoError(r.t, os.WriteFile(i.path("ini"), []byte(text), 0o600))
}

// start starts the process and returns once it serves on all its addresses.
func (i *instance) start(dieAt string) { i.startCommand(dieAt, exec.Command(os.Args[0])) }

func (i *instance) startCommand(dieAt string, cmd *exec.Cmd) {
	t := i.cluster.t
	i.cmd = cmd
	i.cmd.Env = append(os.Environ(), "ALDERPROXY_TEST=program", "EDGE_CONFIG=", "ALDERPROXY_CONFIG="+i.path("ini"), "ALDERPROXY_TEST_DIE_AT="+dieAt)
	out, err := i.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, i.cmd.Start())
	ended, log := make(chan struct{}), &strings.Builder{}
	i.ended, i.log = ended, log
	t.Cleanup(func() { cmd.Process.Signal(syscall.SIGCONT); cmd.Process.Kill(); <-ended })
	found := make(chan [2]string, 16)
	go func() {
		defer close(ended)
		place := regexp.MustCompile(`msg="?(reachable for instances|reachable for members|serving operators|serving OpenSearch-style queries|serving)"? .*listen="?([0-9.:]+)`)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			i.mu.Lock()
			log.WriteString(lines.Text() + "\n")
			i.mu.Unlock()
			if m := place.FindStringSubmatch(lines.Text()); m != nil {
				found <- [2]string{m[1], m[2]}
			}
		}
		cmd.Wait()
	}()
	places := 3
	if i.peerProxy != nil {
		places++
	}
	if i.gossipProxy != nil {
		places++
	}
	for range places {
		select {
		case f := <-found:
			switch f[0] {
			case "reachable for members":
				require.NoError(t, i.gossipProxy.Behind(f[1]))
			case "reachable for instances":
				i.peerProxy.Behind(f[1])
			case "serving operators":
				i.adminAddr = f[1]
			case "serving OpenSearch-style queries":
				i.searchAddr = f[1]
			case "serving":
				i.platformAddr = f[1]
			}
		case <-ended:
			require.Fail(t, "ended: "+i.logged())
		case <-time.After(20 * time.Second):
			require.Fail(t, "did not start: "+i.logged())
		}
	}
}

func (i *instance) logged() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.String()
}

func (i *instance) client() admin.Client { return admin.Client{Addr: i.adminAddr} }

func (i *instance) signal(s syscall.Signal) { require.NoError(i.cluster.t, i.cmd.Process.Signal(s)) }

// waitUntilServing waits until instances serve by a version on both fronts.
func (r *cluster) waitUntilServing(version uint64, names ...string) {
	for _, name := range names {
		i := r.instances[name]
		want := fmt.Sprint(version)
		require.Eventually(r.t, func() bool {
			s, v, _ := i.search()
			e, w, _ := i.lookup("serving")
			return s == 200 && v == want && e == 200 && w == want
		}, 20*time.Second, 20*time.Millisecond, "%s: %s", name, i.logged())
	}
}

// sendOnce sends one request and reads its answer.
func sendOnce(addr string, request []byte) (status int, version string, err error) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Write(request); err != nil {
		return 0, "", err
	}
	return readAnswer(bufio.NewReader(c))
}

func readAnswer(r *bufio.Reader) (status int, version string, err error) {
	resp, err := httpwire.ReadResponse(r)
	if err != nil {
		return 0, "", err
	}
	return resp.Status, resp.Header.Get("X-Config-Version"), nil
}

func searchRequest() []byte {
	return httpwire.AppendRequest(nil, "POST", "/catalogue/_search", "test", nil, []byte("{}"))
}

func (i *instance) search() (int, string, error) { return sendOnce(i.searchAddr, searchRequest()) }

func platformRequest(id string) []byte {
	return httpwire.AppendRequest(nil, "POST", "/lookup", "test", httpwire.Header{
		{Name: "Request-Id", Value: id},
		{Name: "Request-Timeout", Value: "2"},
	}, []byte(`{"slices":[{"slice":0,"mass":1}],"filter":"x"}`))
}

func (i *instance) lookup(id string) (int, string, error) {
	return sendOnce(i.platformAddr, platformRequest(id))
}

func configPut(request string, expect uint64, worth int) admin.Put {
	return admin.Put{Request: request, Expect: expect, Text: fmt.Sprintf(documentTemplate, worth), Author: "test"}
}

// transferLeadership has an instance lead.
func (r *cluster) transferLeadership(name string) {
	require.Eventually(r.t, func() bool {
		o, err := r.instances["n2"].client().Order(raftnode.Command{HandOver: &name})
		s, err2 := r.instances[name].client().Status()
		return err == nil && err2 == nil && o.Status == sharedconfig.Done && s.Leader == name
	}, 20*time.Second, 50*time.Millisecond)
}

func without(all []string, out ...string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(n string) bool { return slices.Contains(out, n) })
}

func (r *cluster) instanceNames() (all []string) {
	for name := range r.instances {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
