package raftnode

import (
	"bytes"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sirupsen/logrus"
)

// raftLog takes what Raft logs. Its errors are shown, once a second at most since a broken disk or peer brings many;
// the rest is for debugging.
type raftLog struct {
	log *logrus.Entry

	mu    sync.Mutex
	shown time.Time
	held  int
}

// Write takes one line.
func (r *raftLog) Write(line []byte) (int, error) {
	text := line
	if _, rest, ok := bytes.Cut(text, []byte("] ")); ok {
		text = rest
	}
	message := string(bytes.TrimSpace(text))
	if !bytes.Contains(line, []byte("[ERROR]")) {
		r.log.Debug(message)
		return len(line), nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.shown) >= time.Second {
		r.log.WithField("not_shown", r.held).Error(message)
		r.shown, r.held = now, 0
	} else {
		r.held++
	}
	return len(line), nil
}

func (n *Node) hclog() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: &raftLog{log: n.Log.WithField("instance", n.Name)}, Level: hclog.Info})
}
