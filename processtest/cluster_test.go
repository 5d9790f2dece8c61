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

	"github.com/stretchr/testify/assert"
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

// cluster is a group of processes of the program, each with both fronts: three voters, and as many followers as a test asks
// for. Their connections and datagrams pass through a network that injects faults.
type cluster struct {
	t              *testing.T
	dir            string
	faults         *faultnet.Network
	stalenessBound time.Duration
	gossip         bool   // the instances are members of one gossip group
	agreement      string // further lines of the section [agreement] of each file
	discovery      *testserver.Discovery
	stores         []*testserver.Store
	instances      map[string]*instance
}

// instance is one process of a cluster.
type instance struct {
	name         string
	cluster      *cluster
	cmd          *exec.Cmd
	peerProxy    *faultnet.ConnectionProxy // nil for a follower, which has no listener for other instances
	gossipProxy  *faultnet.DatagramProxy   // nil without gossip
	searchAddr   string
	platformAddr string
	adminAddr    string
	mu           sync.Mutex
	log          *strings.Builder // guarded by mu
	exited       chan struct{}    // closed when the process has exited
}

// startCluster starts three voters. The first of them kills itself at the given step of a configuration change; an empty
// step means never.
func startCluster(t *testing.T, bound time.Duration, killAtStep string) *cluster {
	t.Helper()
	return startClusterWithFollowers(t, bound, killAtStep, false, 0)
}

// startClusterWithFollowers starts three voters, n1 to n3, and the given number of followers, named from f1.
func startClusterWithFollowers(t *testing.T, bound time.Duration, killAtStep string, gossip bool, followerCount int) *cluster {
	t.Helper()
	r := newCluster(t, bound)
	r.gossip = gossip
	r.startInstances(killAtStep, followerCount)
	return r
}

// newCluster returns a cluster without instances.
func newCluster(t *testing.T, bound time.Duration) *cluster {
	t.Helper()
	return &cluster{
		t:              t,
		dir:            t.TempDir(),
		faults:         faultnet.New(5),
		stalenessBound: bound,
		instances:      map[string]*instance{},
	}
}

// startInstances starts the servers, the voters and the followers, as startClusterWithFollowers does.
func (r *cluster) startInstances(killAtStep string, followerCount int) {
	r.startServers()
	voters := []string{"n1", "n2", "n3"}
	var followers []string
	for n := range followerCount {
		followers = append(followers, fmt.Sprint("f", n+1))
	}
	for _, name := range voters {
		r.addInstance(name, true)
	}
	for _, name := range followers {
		r.addInstance(name, false)
	}
	for _, i := range r.instances { // all addresses are known by now
		i.writeConfig()
	}
	r.bootstrap(voters, killAtStep)
	for _, name := range followers {
		r.instances[name].start("")
	}
	r.waitUntilServing(1, append(voters, followers...)...)
}

// startServers starts the stores and discovery, and discards the requests that they record.
func (r *cluster) startServers() {
	for range 2 {
		s := testserver.NewSearchStore(r.t, "0 {\"_id\":\"a\",\"_score\":1}\n1 {\"_id\":\"b\",\"_score\":2}\n")
		r.stores = append(r.stores, s)
		go discard(s.Requests)
	}
	frames := testserver.NewFrameStore(r.t)
	go discard(frames.Requests)
	r.discovery = testserver.NewDiscovery(r.t, testserver.EndpointEntry("s-1", frames, "in_service"))
	go discard(r.discovery.Calls)
}

func discard(records <-chan string) {
	for range records {
	}
}

func (r *cluster) addInstance(name string, voter bool) {
	i := &instance{name: name, cluster: r}
	if voter {
		l, err := new(net.ListenConfig).Listen(r.t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(r.t, err)
		r.t.Cleanup(func() { l.Close() })
		i.peerProxy = r.faults.ProxyConnections(name, l)
	}
	if r.gossip {
		var err error
		i.gossipProxy, err = r.faults.ProxyDatagrams(name)
		require.NoError(r.t, err)
		r.t.Cleanup(func() { assert.NoError(r.t, i.gossipProxy.Close()) })
	}
	r.instances[name] = i
}

// bootstrap starts the voters, the first of them as the only member of a new group, and adds the others to it.
func (r *cluster) bootstrap(voters []string, killAtStep string) {
	first := r.instances[voters[0]]
	c, err := config.Load(first.path("ini"))
	require.NoError(r.t, err)
	_, err = alderproxy.Init(c, fmt.Sprintf(documentTemplate, 1), "test")
	require.NoError(r.t, err)
	first.start(killAtStep)
	for _, name := range voters[1:] {
		r.instances[name].start("")
		add := &sharedconfig.Member{Name: name, Addr: r.instances[name].peerProxy.Addr()}
		o, err := first.client().Execute(raftnode.Command{AddMember: add})
		require.NoError(r.t, err)
		require.Equal(r.t, sharedconfig.StatusDone, o.Status, o.Reason)
	}
}

func (i *instance) path(extension string) string {
	return filepath.Join(i.cluster.dir, i.name+"."+extension)
}

func (i *instance) writeConfig() {
	r := i.cluster
	edge := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, i.name, r.discovery.Addr,
		fmt.Sprintf(testserver.SettingsTemplate, testserver.LookupClass, 0, 15_000_000))
	require.NoError(r.t, os.WriteFile(i.path("json"), []byte(edge), 0o600))
	text := fmt.Sprintf("[instance]\nid = %s\nfolder = %s\nadmin = 127.0.0.1:0\n[gatherer]\nconfig = %s\n[opensearch]\nlisten = 127.0.0.1:0\n"+
		"[agreement]\nstale_after = %s\nspeed = 2\n%s", i.name, i.path("folder"), i.path("json"), r.stalenessBound, r.agreement)
	if i.peerProxy != nil {
		text += "listen = 127.0.0.1:0\naddress = " + i.peerProxy.Addr() + "\n"
	} else { // two of the voters, after an address at which nothing listens
		text += "follow = 127.0.0.1:1, " + r.instances["n1"].peerProxy.Addr() + ", " + r.instances["n2"].peerProxy.Addr() + "\n"
	}
	if r.gossip { // a fifth of the default period
		text += fmt.Sprintf("[membership]\nlisten = 127.0.0.1:0\naddress = %s\nseeds = 127.0.0.1:1, %s, %s\nperiod = 200ms\ndatagrams_per_s = 100\nzone = z%d\n",
			i.gossipProxy.Addr(), r.instances["n1"].gossipProxy.Addr(), r.instances["n2"].gossipProxy.Addr(), len(i.name)%2)
	}
	for n, s := range r.stores {
		text += fmt.Sprintf("[store s-%d]\naddr = %s\n", n, s.Addr)
	}
	require.NoError(r.t, os.WriteFile(i.path("ini"), []byte(text), 0o600))
}

// listenLogPattern matches the log lines that contain the address on which a service of the process listens.
var listenLogPattern = regexp.MustCompile(
	`msg="?(reachable for instances|reachable for members|serving operators|serving OpenSearch-style queries|serving)"? .*listen="?([0-9.:]+)`)

// serviceAddress is a service of a process, as named in the log, and the address on which it listens.
type serviceAddress struct{ service, addr string }

// start starts the process and returns once it serves on all its addresses.
func (i *instance) start(killAtStep string) {
	i.startCommand(killAtStep, exec.CommandContext(i.cluster.t.Context(), os.Args[0]))
}

func (i *instance) startCommand(killAtStep string, cmd *exec.Cmd) {
	t := i.cluster.t
	i.cmd = cmd
	i.cmd.Env = append(os.Environ(), "ALDERPROXY_TEST=program", "EDGE_CONFIG=", "ALDERPROXY_CONFIG="+i.path("ini"), "ALDERPROXY_TEST_DIE_AT="+killAtStep)
	out, err := i.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, i.cmd.Start())
	exited := make(chan struct{})
	log := &strings.Builder{}
	i.exited, i.log = exited, log
	t.Cleanup(func() {
		resumeAndKill(cmd)
		<-exited
	})
	found := make(chan serviceAddress, 16)
	go func() {
		defer close(exited)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			i.mu.Lock()
			log.WriteString(lines.Text() + "\n")
			i.mu.Unlock()
			if m := listenLogPattern.FindStringSubmatch(lines.Text()); m != nil {
				found <- serviceAddress{m[1], m[2]}
			}
		}
		_ = cmd.Wait() // tests read the exit status from ProcessState
	}()
	i.awaitServices(found)
}

// resumeAndKill kills a process that may be suspended or may have exited already.
func resumeAndKill(cmd *exec.Cmd) {
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
}

// awaitServices waits until the process has logged the address of each service that its configuration enables.
func (i *instance) awaitServices(found <-chan serviceAddress) {
	t := i.cluster.t
	services := 3
	if i.peerProxy != nil {
		services++
	}
	if i.gossipProxy != nil {
		services++
	}
	for range services {
		select {
		case l := <-found:
			i.recordAddress(l)
		case <-i.exited:
			require.Fail(t, "the process exited: "+i.logged())
		case <-time.After(20 * time.Second):
			require.Fail(t, "the process does not listen on all its addresses after 20 s: "+i.logged())
		}
	}
}

func (i *instance) recordAddress(l serviceAddress) {
	switch l.service {
	case "reachable for members":
		require.NoError(i.cluster.t, i.gossipProxy.SetTarget(l.addr))
	case "reachable for instances":
		i.peerProxy.SetTarget(l.addr)
	case "serving operators":
		i.adminAddr = l.addr
	case "serving OpenSearch-style queries":
		i.searchAddr = l.addr
	case "serving":
		i.platformAddr = l.addr
	}
}

func (i *instance) logged() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.String()
}

func (i *instance) client() admin.Client { return admin.Client{Addr: i.adminAddr} }

func (i *instance) signal(s syscall.Signal) { require.NoError(i.cluster.t, i.cmd.Process.Signal(s)) }

// waitUntilServing waits until the instances serve a configuration version on both fronts.
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

// sendOnce sends one request on a new connection and returns the status and the configuration version of the answer.
func sendOnce(addr string, request []byte) (status int, version string, err error) {
	c, err := (&net.Dialer{Timeout: 5 * time.Second}).Dial("tcp", addr)
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

func (i *instance) lookup(id string) (int, string, error) {
	return sendOnce(i.platformAddr, lookupRequest(id))
}

func configPut(request string, expect uint64, worth int) admin.ConfigChange {
	return admin.ConfigChange{Request: request, Expect: expect, Text: fmt.Sprintf(documentTemplate, worth), Author: "test"}
}

// transferLeadershipToN1 transfers the leadership to n1 and waits until n1 leads.
func (r *cluster) transferLeadershipToN1() {
	name := "n1"
	require.Eventually(r.t, func() bool {
		o, err := r.instances["n2"].client().Execute(raftnode.Command{TransferLeadershipTo: &name})
		s, err2 := r.instances[name].client().Status()
		return err == nil && err2 == nil && o.Status == sharedconfig.StatusDone && s.Leader == name
	}, 20*time.Second, 50*time.Millisecond)
}

func without(all []string, excluded ...string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(n string) bool { return slices.Contains(excluded, n) })
}

func (r *cluster) instanceNames() (all []string) {
	for name := range r.instances {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
