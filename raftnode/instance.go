package raftnode

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/clock"
	"alderproxy/sharedconfig"
)

const (
	// loopsPerRenewalInterval is the number of times that the event loop runs in a lease renewal interval if nothing wakes it.
	loopsPerRenewalInterval = 8
	// retryAfter is the time after which clients of an instance without a lease should retry. It is short, since a lease may
	// be granted at any time.
	retryAfter = time.Second
)

// instance is the common part of a Node and a Follower: the event loop, the lease and the activation of versions.
type instance struct {
	config            Config
	directory         *dataDirectory
	settings          sharedconfig.Settings
	logWithState      func() *logrus.Entry // returns the log with fields that describe the instance's state
	events            *eventQueue
	lease             atomic.Pointer[sharedconfig.Lease]
	servedVersion     atomic.Uint64
	activations       chan sharedconfig.Version // capacity 1: the newest version that waits for its activation
	lastServingReport servingReport             // used by the event loop only
	stop              chan struct{}             // closed when the instance stops
	goroutines        sync.WaitGroup
}

// newInstance returns an instance that does not run yet. directoryID becomes sharedconfig.Settings.DirectoryID, which has
// another form for a follower.
func newInstance(config Config, directory *dataDirectory, directoryID string) *instance {
	return &instance{
		config:      config,
		directory:   directory,
		settings:    sharedconfig.DefaultSettings(directoryID, config.StalenessBound.Microseconds(), config.ServeWhenStale),
		events:      newEventQueue(),
		activations: make(chan sharedconfig.Version, 1),
		stop:        make(chan struct{}),
	}
}

// start runs functions in goroutines, which must end when the instance stops.
func (i *instance) start(functions ...func()) {
	for _, function := range functions {
		i.goroutines.Add(1)
		go func() {
			defer i.goroutines.Done()
			function()
		}()
	}
}

// runEventLoop passes the queued events to step, at least loopsPerRenewalInterval times in a lease renewal interval. After
// each step it calls reportServing.
func (i *instance) runEventLoop(step func([]sharedconfig.Event)) {
	ticker := time.NewTicker(microseconds(i.settings.LeaseRenewalInterval) / loopsPerRenewalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-i.events.wake:
		case <-ticker.C:
		case <-i.stop:
			return
		}
		step(i.events.drain())
		i.reportServing()
	}
}

// ServedVersion returns the number of the version that this instance serves, or 0.
func (i *instance) ServedVersion() uint64 { return i.servedVersion.Load() }

// AllowsQueries reports whether queries may be accepted under a version now, and if not, after what time clients should
// retry.
func (i *instance) AllowsQueries(version uint64) (allowed bool, retryDelay time.Duration) {
	if i.lease.Load().Allows(clock.Now(), version) {
		return true, 0
	}
	return false, retryAfter
}

// leaseRemainingMillis returns the remaining time in milliseconds for which the lease covers the served version.
func (i *instance) leaseRemainingMillis() int64 {
	lease := i.lease.Load()
	version := i.servedVersion.Load()
	now := clock.Now()
	if !lease.Covers(now, version) {
		return 0
	}
	return microseconds(lease.ExpiresAt(version) - now).Milliseconds()
}

func microseconds(n sharedconfig.Micros) time.Duration { return time.Duration(n) * time.Microsecond }
