package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/httpwire"
	"alderproxy/internal/testserver"
)

// largePadding is the padding of a request that is nearly as large as one may be, in bytes.
const largePadding = 60 << 10

// bothFronts is a process that serves both fronts, with a store for each of them.
type bothFronts struct {
	process     *exec.Cmd
	frameStore  *testserver.Store
	searchStore *testserver.Store
	fronts      []frontUnderTest
}

// frontUnderTest is a front with what clients send to it.
type frontUnderTest struct {
	name, addr string
	store      *testserver.Store
	// startLine begins a query.
	startLine string
	// query returns a query that differs from others by its ID, and has at least the given number of bytes of padding.
	query func(id string, padding int) []byte
}

// bothFrontsFile is an instance's file with the OpenSearch front. Its arguments are the maximum number of connections and the
// address of the store.
const bothFrontsFile = `
[instance]
id = n0
[opensearch]
listen = 127.0.0.1:0
max_conns = %d
[store s-0]
addr = %s
[layout]
slices = 1
[class lookup]
aim = 600ms
give_up = 2s
[index names]
class = lookup
slices = 0
`

// unsafeClass is a class of the platform's settings whose parts must not run twice.
const unsafeClass = `{"name":"assign","effect":"non_idempotent","promise_us":600000,"give_up_us":2000000,"gain":1}`

// searchListenPattern matches the log line with the address of the OpenSearch front, which starts before the platform's.
const searchListenPattern = `msg="serving OpenSearch-style queries".*listen="([^"]+)"`

// startBothFronts starts a program with both fronts under limits on memory and descriptors.
func startBothFronts(t *testing.T, program string, memoryMB, descriptors int) *bothFronts {
	t.Helper()
	return startBothFrontsWith(t, program, memoryMB, descriptors, testserver.NewSearchStore(t, `0 {"_id":"a","_score":1}`))
}

// startBothFrontsWith is startBothFronts with a given store of the OpenSearch front.
func startBothFrontsWith(t *testing.T, program string, memoryMB, descriptors int, searchStore *testserver.Store) *bothFronts {
	t.Helper()
	r := &bothFronts{frameStore: testserver.NewFrameStore(t), searchStore: searchStore}
	d := testserver.NewDiscovery(t, testserver.EndpointEntry("s-0", r.frameStore, "in_service"))
	go discard(d.Calls)
	limits := fmt.Sprintf(`"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":`, memoryMB, descriptors)
	config := strings.NewReplacer(`"settings":`, limits, testserver.LookupClass, testserver.LookupClass+","+unsafeClass).Replace(platformConfig(d))
	r.process, _ = processCommand(t, config)
	r.process.Path, r.process.Args = program, []string{program}
	file := filepath.Join(t.TempDir(), "instance.ini")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, bothFrontsFile, descriptors*5/8, r.searchStore.Addr), 0o600))
	r.process.Env = append(r.process.Env, "ALDERPROXY_CONFIG="+file)
	searchAddr := ""
	client, lines := startCommandAfter(t, r.process, func(line []string) { searchAddr = line[1] }, searchListenPattern)
	go discardLog(lines)
	r.fronts = []frontUnderTest{
		{"platform", client.RemoteAddr().String(), r.frameStore, "POST /lookup HTTP/1.1\r\n", paddedLookup},
		{"opensearch", searchAddr, r.searchStore, "POST /names/_search HTTP/1.1\r\n", paddedSearch},
	}
	client.Close()
	return r
}

func paddedLookup(id string, padding int) []byte {
	return lookupOfClass("lookup", id, strings.Repeat("x", padding))
}

// lookupOfClass returns a query of a class with a text for the stores.
func lookupOfClass(class, id, text string) []byte {
	return httpwire.AppendRequest(nil, "POST", "/"+class, "test", httpwire.Header{
		{Name: "Request-Id", Value: id},
		{Name: "Request-Timeout", Value: "2"},
	}, []byte(`{"slices":[{"slice":0,"mass":1}],"filter":"`+text+`"}`))
}

func paddedSearch(id string, padding int) []byte {
	body := fmt.Sprintf(`{"query":{"match":{"name":%q}}}%s`, id, strings.Repeat(" ", padding))
	return httpwire.AppendRequest(nil, "POST", "/names/_search", "test", nil, []byte(body))
}

// stop ends the process gracefully.
func (r *bothFronts) stop(t *testing.T) {
	t.Helper()
	require.NoError(t, r.process.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, r.process.Wait())
}

// anonymousMemoryKB returns the anonymous memory of a process.
func anonymousMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	match := anonymousMemoryPattern.FindSubmatch(status)
	require.NotNil(t, match, "%s", status)
	heldKB, err := strconv.Atoi(string(match[1]))
	require.NoError(t, err)
	return heldKB
}
