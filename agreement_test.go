package alderproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/admin"
	"alderproxy/config"
	"alderproxy/httpwire"
	"alderproxy/internal/faultnet"
	"alderproxy/internal/testserver"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

const sharedText = `[layout]
slices = 2
[class lookup]
aim = 3s
give_up = 4s
worth = %d
[index catalogue]
class = lookup
slices = 0-1
`

// trio is three processes of the program that agree, with both fronts, over a faulty network, and others that follow
// them.
type trio struct {
	t         *testing.T
	dir       string
	faults    *faultnet.Network
	bound     time.Duration
	fleet     bool // they are members of a fleet
	discovery *testserver.Discovery
	stores    []*testserver.Store
	instances map[string]*instance
}

type instance struct {
	name                string
	trio                *trio
	cmd                 *exec.Cmd
	front               *faultnet.Front // nil: it follows
	post                *faultnet.Post  // nil: it is member of no fleet
	search, edge, admin string          // addresses
	log                 *strings.Builder
	mu                  sync.Mutex
	ended               chan struct{}
}

// newTrio starts three instances; the first one dies at a step of a change, if one is given.
func newTrio(t *testing.T, bound time.Duration, dieAt string) *trio {
	return newFleet(t, bound, dieAt, false, 0)
}

// newFleet starts also so many that follow, f1 and on, and has all of them be members of a fleet.
func newFleet(t *testing.T, bound time.Duration, dieAt string, fleet bool, follow int) *trio {
	r := &trio{fleet: fleet, t: t, dir: t.TempDir(), faults: faultnet.New(5), bound: bound, instances: map[string]*instance{}}
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
		i := &instance{name: name, trio: r}
		if k < 3 {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { l.Close() })
			i.front = r.faults.Front(name, l)
		}
		if fleet {
			var err error
			i.post, err = r.faults.Post(name)
			require.NoError(t, err)
			t.Cleanup(func() { i.post.Close() })
		}
		r.instances[name] = i
	}
	for _, i := range r.instances { // all addresses are known by now
		i.write()
	}
	c, err := config.Load(r.instances["n1"].path("ini"))
	require.NoError(t, err)
	_, err = Init(c, fmt.Sprintf(sharedText, 1), "test")
	require.NoError(t, err)
	r.instances["n1"].start(dieAt)
	for _, name := range []string{"n2", "n3"} {
		r.instances[name].start("")
		o, err := r.instances["n1"].client().Order(raftnode.Command{Add: &sharedconfig.Member{Name: name, Addr: r.instances[name].front.Addr()}})
		require.NoError(t, err)
		require.Equal(t, sharedconfig.Done, o.Status, o.Why)
	}
	for _, name := range names[3:] {
		r.instances[name].start("")
	}
	r.serving(1, names...)
	return r
}

func (i *instance) path(kind string) string { return filepath.Join(i.trio.dir, i.name+"."+kind) }

func (i *instance) write() {
	r := i.trio
	edge := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"settings":%s}`, i.name, r.discovery.Addr,
		fmt.Sprintf(testserver.Settings, testserver.Lookup, 0, 15_000_000))
	require.NoError(r.t, os.WriteFile(i.path("json"), []byte(edge), 0o600))
	text := fmt.Sprintf("[instance]\nid = %s\nfolder = %s\nadmin = 127.0.0.1:0\n[gatherer]\nconfig = %s\n[opensearch]\nlisten = 127.0.0.1:0\n"+
		"[agreement]\nstale_after = %s\nspeed = 2\n", i.name, i.path("folder"), i.path("json"), r.bound)
	if i.front != nil {
		text += "listen = 127.0.0.1:0\naddress = " + i.front.Addr() + "\n"
	} else { // one of the voters, by chance of the order, and an address at which nobody is
		text += "follow = 127.0.0.1:1, " + r.instances["n1"].front.Addr() + ", " + r.instances["n2"].front.Addr() + "\n"
	}
	if r.fleet { // a fifth of the usual times
		text += fmt.Sprintf("[membership]\nlisten = 127.0.0.1:0\naddress = %s\nseeds = 127.0.0.1:1, %s, %s\nperiod = 200ms\ndatagrams_per_s = 100\nzone = z%d\n",
			i.post.Addr(), r.instances["n1"].post.Addr(), r.instances["n2"].post.Addr(), len(i.name)%2)
	}
	for n, s := range r.stores {
		text += fmt.Sprintf("[store s-%d]\naddr = %s\n", n, s.Addr)
	}
	require.NoError(r.t, os.WriteFile(i.path("ini"), []byte(text), 0o600))
}

// start starts the process and returns once it serves on all its addresses.
func (i *instance) start(dieAt string) { i.run(dieAt, exec.Command(os.Args[0])) }

func (i *instance) run(dieAt string, cmd *exec.Cmd) {
	t := i.trio.t
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
	if i.front != nil {
		places++
	}
	if i.post != nil {
		places++
	}
	for range places {
		select {
		case f := <-found:
			switch f[0] {
			case "reachable for members":
				require.NoError(t, i.post.Behind(f[1]))
			case "reachable for instances":
				i.front.Behind(f[1])
			case "serving operators":
				i.admin = f[1]
			case "serving OpenSearch-style queries":
				i.search = f[1]
			case "serving":
				i.edge = f[1]
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

func (i *instance) client() admin.Client { return admin.Client{Addr: i.admin} }

func (i *instance) signal(s syscall.Signal) { require.NoError(i.trio.t, i.cmd.Process.Signal(s)) }

// serving waits until instances serve by a version on both fronts.
func (r *trio) serving(version uint64, names ...string) {
	for _, name := range names {
		i := r.instances[name]
		want := fmt.Sprint(version)
		require.Eventually(r.t, func() bool {
			s, v, _ := i.ask()
			e, w, _ := i.askEdge("serving")
			return s == 200 && v == want && e == 200 && w == want
		}, 20*time.Second, 20*time.Millisecond, "%s: %s", name, i.logged())
	}
}

// once sends one request and reads its answer.
func once(addr string, request []byte) (status int, version string, err error) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Write(request); err != nil {
		return 0, "", err
	}
	return answered(bufio.NewReader(c))
}

func answered(r *bufio.Reader) (status int, version string, err error) {
	resp, err := httpwire.ReadResponse(r)
	if err != nil {
		return 0, "", err
	}
	return resp.Status, resp.Header.Get("X-Config-Version"), nil
}

func searchRequest() []byte {
	return httpwire.AppendRequest(nil, "POST", "/catalogue/_search", "test", nil, []byte("{}"))
}

func (i *instance) ask() (int, string, error) { return once(i.search, searchRequest()) }

func edgeRequest(id string) []byte {
	return httpwire.AppendRequest(nil, "POST", "/lookup", "test", httpwire.Header{
		{Name: "Request-Id", Value: id},
		{Name: "Request-Timeout", Value: "2"},
	}, []byte(`{"slices":[{"slice":0,"mass":1}],"filter":"x"}`))
}

func (i *instance) askEdge(id string) (int, string, error) { return once(i.edge, edgeRequest(id)) }

func put(request string, expect uint64, worth int) admin.Put {
	return admin.Put{Request: request, Expect: expect, Text: fmt.Sprintf(sharedText, worth), Author: "test"}
}

// traffic is queries on both fronts of some instances, one after the other on a connection each, until it is stopped.
type traffic struct {
	r        *trio
	done     atomic.Bool
	mu       sync.Mutex
	replaced map[string]time.Time // when a version was known to be replaced
	tallies  chan tally
	n        int
}

// tally is what became of queries. Each must have one final answer, by a version that was not replaced for longer
// than the bound; versions never go back.
type tally struct {
	asked, served, refused int
	bad                    []string
}

func (r *trio) traffic(names ...string) *traffic {
	l := &traffic{r: r, replaced: map[string]time.Time{}, tallies: make(chan tally)}
	for _, name := range names {
		i := r.instances[name]
		go l.run(i.search, func(int) []byte { return searchRequest() })
		go l.run(i.edge, func(n int) []byte { return edgeRequest(fmt.Sprint(name, "-", n)) })
		l.n += 2
	}
	return l
}

// changed notes that a version is replaced by now.
func (l *traffic) changed(old uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaced[fmt.Sprint(old)] = time.Now()
}

func (l *traffic) run(addr string, request func(int) []byte) {
	var sum tally
	defer func() { l.tallies <- sum }()
	last := ""
	c, err := net.Dial("tcp", addr) // one connection: a second answer to a query would come before the next one's
	if err != nil {
		sum.bad = append(sum.bad, err.Error())
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; !l.done.Load() && len(sum.bad) == 0; n++ {
		began := time.Now()
		c.SetDeadline(began.Add(5 * time.Second))
		c.Write(request(n))
		status, version, err := answered(in)
		sum.asked++
		l.mu.Lock()
		at, old := l.replaced[version]
		l.mu.Unlock()
		switch {
		case err != nil || in.Buffered() > 0 || status != 200 && status != 429 && status != 503:
			sum.bad = append(sum.bad, fmt.Sprint(status, " ", err, " ", in.Buffered()))
		case status != 200:
			sum.refused++
		case len(version) < len(last) || len(version) == len(last) && version < last:
			sum.bad = append(sum.bad, version+" after "+last)
		case old && began.Sub(at) > l.r.bound:
			sum.bad = append(sum.bad, fmt.Sprint("version ", version, " served ", began.Sub(at), " after it was replaced"))
		default:
			sum.served, last = sum.served+1, version
		}
		if status != 200 {
			time.Sleep(10 * time.Millisecond) // as Retry-After asks, but sooner
		}
	}
	if len(sum.bad) > 0 {
		return
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		sum.bad = append(sum.bad, fmt.Sprint("more came than was asked for: ", err))
	}
}

func (l *traffic) stop() (sum tally) {
	l.done.Store(true)
	for range l.n {
		t := <-l.tallies
		sum.asked, sum.served, sum.refused, sum.bad = sum.asked+t.asked, sum.served+t.served, sum.refused+t.refused, append(sum.bad, t.bad...)
	}
	return sum
}

// leadBy has an instance lead.
func (r *trio) leadBy(name string) {
	require.Eventually(r.t, func() bool {
		o, err := r.instances["n2"].client().Order(raftnode.Command{HandOver: &name})
		s, err2 := r.instances[name].client().Status()
		return err == nil && err2 == nil && o.Status == sharedconfig.Done && s.Leader == name
	}, 20*time.Second, 50*time.Millisecond)
}

// The leader is killed at each step of a change, also between the two entries. Who asked it is told nothing, and so
// does not know. Afterwards all have the new version or all the old one; asking again for the same change makes it
// once, whatever had become of it.
func TestLeaderKilledAtEachStepOfAChange(t *testing.T) {
	for _, step := range []string{"propose", "proposed", "check", "decide", "decided"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			r := newTrio(t, 2*time.Second, step)
			r.leadBy("n1")
			n1, n2 := r.instances["n1"], r.instances["n2"]
			o, err := n1.client().Put(put("change", 1, 2))
			if err == nil { // its last breath may still have been the answer
				require.Equal(t, "decided", step)
				require.Equal(t, sharedconfig.Outcome{Request: "change", Status: sharedconfig.Done, Version: 2}, o)
			} else {
				require.ErrorIs(t, err, admin.ErrUnreachable)
			}
			<-n1.ended
			n1.start("")
			var versions [3]uint64
			require.Eventually(t, func() bool { // the survivors agree on what became of it, and so does the one that died
				for k, name := range []string{"n1", "n2", "n3"} {
					s, err := r.instances[name].client().Status()
					if err != nil || s.Pending != "" || s.Leader == "" || s.Why != "" {
						return false
					}
					versions[k] = s.Serving
				}
				return versions[0] == versions[1] && versions[1] == versions[2]
			}, 20*time.Second, 20*time.Millisecond)
			if step == "decided" {
				assert.Equal(t, uint64(2), versions[0])
			}
			o, err = n2.client().Put(put("change", 1, 2))
			require.NoError(t, err)
			assert.Equal(t, sharedconfig.Outcome{Request: "change", Status: sharedconfig.Done, Version: 2}, o)
			r.serving(2, "n1", "n2", "n3")
			for _, name := range []string{"n1", "n2", "n3"} {
				all, err := r.instances[name].client().History(false)
				require.NoError(t, err)
				assert.Len(t, all, 2, "made twice")
			}
			o, err = n2.client().Put(put("other", 1, 3))
			require.NoError(t, err)
			assert.Equal(t, sharedconfig.Conflict, o.Status)
		})
	}
}

// A process that is stopped for 20 s and goes on: not even the first query that it finds waiting is served under the
// version that was replaced meanwhile.
func TestStoppedInstanceServesNothingReplacedAfterItWakes(t *testing.T) {
	t.Parallel()
	r := newTrio(t, time.Second, "")
	r.leadBy("n1")
	for _, name := range []string{"n3", "n1"} { // one that follows, and the one that leads
		i := r.instances[name]
		i.signal(syscall.SIGSTOP)
		s, err := r.instances["n2"].client().Show(0, false)
		if name == "n1" { // the others have to find another leader first
			require.Eventually(t, func() bool { s, err = r.instances["n2"].client().Show(0, false); return err == nil }, 20*time.Second, 50*time.Millisecond)
		}
		require.NoError(t, err)
		o, err := r.instances["n2"].client().Put(put("while "+name, s.Number, 10+int(s.Number)))
		require.NoError(t, err)
		require.Equal(t, sharedconfig.Done, o.Status, o.Why)
		var waiting []*bufio.Reader
		for range 5 { // the kernel takes these for it
			c, err := net.Dial("tcp", i.search)
			require.NoError(t, err)
			defer c.Close()
			c.SetDeadline(time.Now().Add(40 * time.Second))
			c.Write(searchRequest())
			waiting = append(waiting, bufio.NewReader(c))
		}
		time.Sleep(20 * time.Second) // not a wait for an event: it is the stop
		i.signal(syscall.SIGCONT)
		for _, w := range waiting {
			status, version, err := answered(w)
			require.NoError(t, err)
			assert.True(t, status == 503 && version == "" || status == 200 && version == fmt.Sprint(o.Version), "%s: status %d by version %s", name, status, version)
		}
		r.serving(o.Version, "n1", "n2", "n3")
	}
}

// Two changes for one version: one wins. Whoever is asked, of those that run.
func TestTwoChangesAtOnce(t *testing.T) {
	t.Parallel()
	r := newTrio(t, 2*time.Second, "")
	for round := range uint64(5) {
		results := make(chan sharedconfig.Outcome, 3)
		for k, name := range []string{"n1", "n2", "n3"} {
			go func() {
				o, err := r.instances[name].client().Put(put(fmt.Sprint(round, name), round+1, 100*int(round)+k+2))
				if err != nil {
					o.Why = err.Error()
				}
				results <- o
			}()
		}
		count := map[sharedconfig.Status]int{}
		for range 3 {
			count[(<-results).Status]++
		}
		assert.Equal(t, map[sharedconfig.Status]int{sharedconfig.Done: 1, sharedconfig.Conflict: 2}, count)
	}
	r.serving(6, "n1", "n2", "n3")
	for what, text := range map[string]string{ // what a front here could not serve by is active nowhere
		"index catalogue: no store here holds slice 1":             strings.Replace(fmt.Sprintf(sharedText, 1), "slices = 2", "slices = 2\ncells = 2", 1),
		"the platform's front runs this class with another effect": "[class lookup]\naim = 1s\ngive_up = 2s\neffect = keyed\nwindow = 3s\n",
		"index catalogue.slices: 1 is not below 1":                 strings.Replace(fmt.Sprintf(sharedText, 1), "slices = 2", "slices = 1", 1),
		"settings: Classes is empty":                               "[layout]\nslices = 2\n",
	} {
		o, err := r.instances["n3"].client().Put(admin.Put{Request: what, Expect: 6, Text: text, Author: "test"})
		if err == nil {
			assert.Equal(t, sharedconfig.Refused, o.Status)
			assert.NotEmpty(t, o.Instance)
			err = errors.New(o.Why)
		}
		assert.ErrorContains(t, err, what)
	}
	r.serving(6, "n1", "n2", "n3")
}

// Changes while queries run on both fronts, and the leader is killed during one: each query has one final answer,
// none is refused, and the versions that the answers tell never go back.
func TestChangesUnderQueryLoadWithTheLeaderKilled(t *testing.T) {
	t.Parallel()
	r := newTrio(t, 4*time.Second, "")
	r.leadBy("n1")
	load := r.traffic("n2", "n3")
	client := r.instances["n2"].client()
	for v := uint64(1); v <= 8; v++ {
		if v == 4 {
			go func() { time.Sleep(3 * time.Millisecond); r.instances["n1"].cmd.Process.Kill() }()
		}
		var o sharedconfig.Outcome
		var err error
		require.Eventually(t, func() bool {
			o, err = client.Put(put(fmt.Sprint("c", v), v, int(v)+1))
			return !errors.Is(err, admin.ErrUnreachable) && o.Status != sharedconfig.Unknown
		}, 20*time.Second, 10*time.Millisecond)
		require.Equal(t, sharedconfig.Done, o.Status, "%s %v", o.Why, err)
	}
	r.serving(9, "n2", "n3")
	sum := load.stop()
	assert.Empty(t, sum.bad)
	assert.Zero(t, sum.refused, "refused though a majority was there")
	assert.Greater(t, sum.asked, 200)
}

// Whatever is wrong with what an instance keeps is one line at its start, and nothing is served.
func TestSpoiltFolderEndsTheStart(t *testing.T) {
	t.Parallel()
	r := newTrio(t, 2*time.Second, "")
	n3 := r.instances["n3"]
	n3.signal(syscall.SIGTERM)
	<-n3.ended
	require.Equal(t, 0, n3.cmd.ProcessState.ExitCode(), n3.logged())
	db := filepath.Join(n3.path("folder"), "agreed.db")
	whole, err := os.ReadFile(db)
	require.NoError(t, err)
	run := func() string {
		var out strings.Builder
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		c := exec.CommandContext(ctx, os.Args[0])
		c.Env = append(os.Environ(), "ALDERPROXY_TEST=program", "EDGE_CONFIG=", "ALDERPROXY_CONFIG="+n3.path("ini"))
		c.Stderr = &out
		assert.Error(t, c.Run())
		assert.Equal(t, 1, c.ProcessState.ExitCode(), "it served: %s", out.String())
		return out.String()
	}
	at := strings.Index(string(whole), "worth = 1")
	require.Positive(t, at)
	spoilt := []byte(strings.ReplaceAll(string(whole), "worth = 1", "worth = 7"))
	require.NoError(t, os.WriteFile(db, spoilt, 0o600))
	assert.Regexp(t, `^alderproxy: agreement: folder: [^\n]*agreed.db: [^\n]*spoilt\n$`, run())
	require.NoError(t, os.WriteFile(db, whole[:9000], 0o600))
	assert.Regexp(t, `^alderproxy: agreement: folder: [^\n]*agreed.db: [^\n]+\n$`, run())
	require.NoError(t, os.RemoveAll(n3.path("folder")))
	require.NoError(t, os.WriteFile(n3.path("folder"), nil, 0o600))
	assert.Regexp(t, `^alderproxy: agreement: folder: [^\n]+\n$`, run())
	require.NoError(t, os.Remove(n3.path("folder")))
	require.NoError(t, os.Mkdir(n3.path("folder"), 0o700))
	require.NoError(t, os.WriteFile(db, whole, 0o600))
	n3.start("")
	r.serving(1, "n3")
}

// A disk that is full: the instance cannot keep what the others agree on, says so, and stops by the bound; the others
// go on. With room again it catches up.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	r := newTrio(t, time.Second, "")
	r.leadBy("n1")
	n3 := r.instances["n3"]
	n3.signal(syscall.SIGTERM)
	<-n3.ended
	f, err := os.Stat(filepath.Join(n3.path("folder"), "agreed.db"))
	require.NoError(t, err)
	// No file of this process may grow beyond that: what writing past it brings is what a full disk brings.
	n3.run("", exec.Command("bash", "-c", fmt.Sprintf("ulimit -f %d; exec %s", f.Size()/1024+64, os.Args[0])))
	r.serving(1, "n3")
	long := strings.Repeat("# "+strings.Repeat("x", 1000)+"\n", 100)
	for v := uint64(1); v <= 5; v++ {
		p := put(fmt.Sprint(v), v, int(v)+1)
		p.Text += long
		o, err := r.instances["n2"].client().Put(p)
		require.NoError(t, err)
		require.Equal(t, sharedconfig.Done, o.Status, o.Why)
	}
	time.Sleep(time.Second) // the bound
	status, version, err := n3.ask()
	assert.True(t, err != nil || status == 503, "served by version %s: %s", version, n3.logged())
	status, version, err = n3.askEdge("refused")
	assert.True(t, err != nil || status == 429, "served by version %s: %s", version, n3.logged())
	r.serving(6, "n1", "n2")
	n3.cmd.Process.Kill()
	<-n3.ended
	assert.Contains(t, n3.logged(), "file too large")
	n3.start("")
	r.serving(6, "n3")
}
