// Package testserver provides the servers and the client that the tests of both fronts share: stores that use the platform's
// frames or answer searches, into which a test can inject faults, and a discovery service.
package testserver

import (
	"io"

	"github.com/sirupsen/logrus"
)

// DiscardLog returns a logger that discards all entries.
func DiscardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger.WithField("test", true)
}
