package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/admin"
	"alderproxy/document"
	"alderproxy/internal/testserver"
	"alderproxy/raftnode"
	"alderproxy/sharedconfig"
)

const initialDocument = "[class lookup]\naim = 1s\ngive_up = 2s\n"

// startInstance starts an instance with an admin server and without fronts. Its check rejects documents with an index.
func startInstance(t *testing.T, token string) (addr string) {
	t.Helper()
	dataDirectory := t.TempDir()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, raftnode.Bootstrap(dataDirectory, "n1", l.Addr().String(), initialDocument, document.Digest(initialDocument), "test", 100, time.Now()))
	n, err := raftnode.StartNode(raftnode.Config{
		Name: "n1", DataDirectory: dataDirectory, Listener: l, Address: l.Addr().String(), StalenessBound: time.Second, RaftSpeedup: 5,
		Log: testserver.DiscardLog(), ActivateVersion: func(sharedconfig.Version) error { return nil }, CheckDocument: func(text string) error {
			if strings.Contains(text, "[index") {
				return errors.New("no store here holds slice 0")
			}
			return nil
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, n.Close()) })
	l, err = new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := admin.Start(l, admin.Services{Config: n}, token, testserver.DiscardLog())
	t.Cleanup(func() { assert.NoError(t, s.Close()) })
	require.Eventually(t, func() bool { open, _ := n.AllowsQueries(n.ServedVersion()); return open }, 10*time.Second, 5*time.Millisecond)
	return s.Addr()
}

func runCommand(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = run(args, &o, &e)
	return status, o.String(), e.String()
}

// TestOperators checks the exit status and the output of each command that calls the admin server. An error must be a single
// line on standard error.
func TestOperators(t *testing.T) {
	addr := startInstance(t, "a secret word")
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	token := file("token", "a secret word\n")
	quick := file("quick.ini", strings.Replace(initialDocument, "1s", "500ms", 1))
	for _, c := range []struct {
		args      string
		status    int
		out, errs string // substrings of the outputs
	}{
		{"config show", 0, initialDocument, ""},
		{"config diff " + quick, 0, "-aim = 1s\n+aim = 500ms\n", ""},
		{"config put " + quick + " --reason tender --author ada", 0, "version 2 is active\n", ""},
		{"config put " + quick, 0, "nothing to change", ""},
		{"config put " + quick + " --expect 1", 1, "", "alderproxy: conflict: version 2 is active and not 1\n"},
		{"config put " + file("odd.ini", initialDocument+"odd = 1\n"), 1, "", "alderproxy: refused: document:4: class lookup.odd: unknown key\n"},
		{"config put " + file("index.ini", initialDocument+"[index i]\nclass = lookup\nslices = 0\n"), 1, "", "alderproxy: refused by n1: no store here holds slice 0\n"},
		{"config put " + filepath.Join(dir, "none"), 1, "", "no such file"},
		{"config put " + file("noise.ini", initialDocument+"# \xff\n"), 1, "", "alderproxy: refused: a text of the change is not UTF-8\n"},
		{"config put " + quick + " --author \xff", 1, "", "alderproxy: refused: a text of the change is not UTF-8\n"},
		{"config history", 0, "ada", ""},
		{"config show --version 1", 0, initialDocument, ""},
		{"config show --version 9", 1, "", "alderproxy: refused: version \"9\" is not in the history\n"},
		{"config rollback 1 --request once", 0, "version 3 is active\n", ""},
		{"config rollback 1 --request once", 0, "version 3 is active\n", ""},
		{"config rollback 9", 1, "", "version 9 is not in the history"},
		{"config show --local", 0, initialDocument, ""},
		{"instances list", 0, "n1 serves version 3 of 3", ""},
		{"instances add n2 127.0.0.1:1", 1, "", "alderproxy: refused: cannot identify the instance at 127.0.0.1:1: "},
		{"instances remove n2", 1, "", "alderproxy: refused: cannot remove n2: it is not a member\n"},
		{"instances remove n1", 1, "", "alderproxy: refused: cannot remove n1: it is the last voter\n"},
		{"instances hand-over n2", 1, "", "alderproxy: refused: cannot transfer the leadership to n2: it is not a voter\n"},
		{"config rollback none", 2, "", "invalid version \"none\": expected a positive whole number"},
		{"config put", 2, "", "accepts 1 arg(s)"},
		{"config put --odd", 2, "", "unknown flag"},
		{"instances add n2", 2, "", "accepts 2 arg(s)"},
	} {
		status, out, errs := runCommand(append(strings.Fields(c.args), "--admin", addr, "--token-file", token)...)
		assert.Equal(t, c.status, status, "%s: %s%s", c.args, out, errs)
		assert.Contains(t, out, c.out, c.args)
		assert.Contains(t, errs, c.errs, c.args)
		assert.LessOrEqual(t, strings.Count(errs, "\n"), 1, c.args)
	}
	status, out, _ := runCommand("config", "history", "--json", "--admin", addr, "--token-file", token)
	assert.Zero(t, status)
	var all []sharedconfig.Version
	require.NoError(t, json.Unmarshal([]byte(out), &all))
	require.Len(t, all, 3)
	assert.Equal(t, uint64(1), all[2].RestoredVersion)
	assert.Equal(t, "back to version 1", all[2].Reason)
	assert.Equal(t, all[0].Digest, all[2].Digest)
	status, _, errs := runCommand("config", "show", "--admin", addr)
	assert.Equal(t, 1, status)
	assert.Contains(t, errs, "token is missing or wrong")
	status, _, errs = runCommand("config", "show", "--admin", "127.0.0.1:1")
	assert.Equal(t, 1, status)
	assert.Contains(t, errs, "no answer from 127.0.0.1:1")
}

// TestCheckReportsAllFaults checks that the check command reports every fault of a file, not only the first, and accepts the
// files of the repository.
func TestCheckReportsAllFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.ini")
	require.NoError(t, os.WriteFile(path, []byte("[instance]\nodd = 1\n[log]\nformat = xml\n[class a]\naim = 0\n"), 0o600))
	status, out, errs := runCommand("check", path)
	assert.Equal(t, 1, status)
	assert.Equal(t, path+":2: instance.odd: unknown key\n"+path+":4: log.format: invalid value \"xml\": expected one of text, json\n"+
		path+":5: class a.give_up: is missing\n"+path+":6: class a.aim: is 0s, but must be between 1ms and 1h0m0s\n", out)
	assert.Equal(t, "alderproxy: faults found: 4\n", errs)
	status, _, _ = runCommand("check", "../../example/alderproxy.ini", "../../example/three-nodes/n1.ini", "../../deploy/alderproxy.ini")
	assert.Zero(t, status)
	status, _, _ = runCommand("check", "--shared", "../../example/three-nodes/first.ini", "../../example/three-nodes/quicker.ini")
	assert.Zero(t, status)
	status, out, _ = runCommand("--version")
	assert.Zero(t, status)
	assert.Contains(t, out, "alderproxy version")
	status, out, _ = runCommand("completion", "bash")
	assert.Zero(t, status)
	assert.Contains(t, out, "bash completion")
}

// TestRecoverRequiresConfirmation checks that recover changes nothing without --i-may-lose-changes, since changes can be lost,
// and that init does not replace an existing group.
func TestRecoverRequiresConfirmation(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "n1.ini")
	require.NoError(t, os.WriteFile(path, []byte("[instance]\nid = n1\nfolder = "+dir+"/f\nadmin = 127.0.0.1:0\n[agreement]\nlisten = 127.0.0.1:7400\n"+initialDocument), 0o600))
	status, _, errs := runCommand("recover", "--config", path)
	assert.Equal(t, 1, status, errs)
	status, out, errs := runCommand("init", "--config", path)
	require.Equal(t, 0, status, errs)
	assert.Contains(t, out, "bootstrapped a new group: member n1, version 1")
	status, _, errs = runCommand("init", "--config", path)
	assert.Equal(t, 1, status)
	assert.Contains(t, errs, "the data directory already belongs to a group")
	status, out, errs = runCommand("recover", "--config", path)
	assert.Equal(t, 1, status)
	assert.Contains(t, out, "WARNING")
	assert.Contains(t, errs, "nothing was done")
	status, out, errs = runCommand("recover", "--config", path, "--i-may-lose-changes")
	assert.Equal(t, 0, status, errs)
	assert.Contains(t, out, "only member of a new group")
}

// Guards against a change whose texts are not those that were sent, with U+FFFD in place of what stands for no text.
func TestChangeThatIsNotUTF8IsRejected(t *testing.T) {
	addr := startInstance(t, "")
	send := func(path, body string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+path, strings.NewReader(body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	change := `{"request":"%s","expect":1,"author":"a%s","text":"[class lookup]\naim = 1s\ngive_up = 2s\n# %s\n"}`
	for _, noise := range []string{"\xff", `\ud83d`} {
		assert.Equal(t, 400, send("/v1/config", fmt.Sprintf(change, "r1", noise, "")))
		assert.Equal(t, 400, send("/v1/config", fmt.Sprintf(change, "r2", "", noise)))
		assert.Equal(t, 400, send("/v1/instances", `{"RemoveMember":"`+noise+`"}`))
	}
	assert.Equal(t, 200, send("/v1/config", fmt.Sprintf(change, "r3", "é", `\ud83d\ude00`)))
}
