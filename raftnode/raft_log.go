package raftnode

import (
	"bytes"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sirupsen/logrus"

	"alderproxy/internal/ratelog"
)

// raftLogWriter writes Raft's log lines to the instance's log: errors as errors at a limited rate, since a failed disk or
// instance causes many, and all others as debug lines.
type raftLogWriter struct {
	log          *logrus.Entry
	errorLimiter ratelog.Limiter
}

// newRaftLogger returns a logger for Raft that writes to the instance's log.
func (n *Node) newRaftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Output: &raftLogWriter{log: n.config.Log.WithField("instance", n.config.Name)},
		Level:  hclog.Info,
	})
}

// Write writes one line. hclog calls it with complete lines only.
func (w *raftLogWriter) Write(line []byte) (int, error) {
	message := raftMessage(line)
	if !bytes.Contains(line, []byte("[ERROR]")) {
		w.log.Debug(message)
		return len(line), nil
	}
	if suppressed, due := w.errorLimiter.Due(time.Now()); due {
		w.log.WithField("not_shown", suppressed).Error(message)
	}
	return len(line), nil
}

// raftMessage returns a line without its timestamp and level.
func raftMessage(line []byte) string {
	if _, message, found := bytes.Cut(line, []byte("] ")); found {
		line = message
	}
	return string(bytes.TrimSpace(line))
}
