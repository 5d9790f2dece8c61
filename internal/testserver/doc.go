// Package testserver has the servers and the client that the tests of both fronts share: stores that speak the platform's
// frames or answer searches, with faults to inject, and discovery.
package testserver

import (
	"io"

	"github.com/sirupsen/logrus"
)

// DiscardLog returns a logger that writes nothing.
func DiscardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger.WithField("test", true)
}
