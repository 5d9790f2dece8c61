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
	// loopsPerRenewalInterval is how often the event loop runs between two lease requests if nothing wakes it.
	loopsPerRenewalInterval = 8
	// retryAfter is when clients of an instance without a lease should try again. A lease may arrive at any time.
	retryAfter = time.Second
)

// instance is what a Node and a Follower have in common: an event loop, and versions that are served under a lease.
type instance struct {
	config            Config
	directory         *dataDirectory
	settings          sharedconfig.Settings
	logWithState      func() *logrus.Entry // with the fields that describe the instance's state
	events            *eventQueue
	lease             atomic.Pointer[sharedconfig.Lease]
	servedVersion     atomic.Uint64
	activations       chan sharedconfig.Version // holds the newest version to activate
	lastServingReport servingReport             // the event loop's
	stop              chan struct{}             // closed when the instance stops
	goroutines        sync.WaitGroup
}

// newInstance returns an instance whose decisions know it by an id.
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

// start runs functions in goroutines that end when the instance stops.
func (i *instance) start(functions ...func()) {
	for _, function := range functions {
		i.goroutines.Add(1)
		go func() {
			defer i.goroutines.Done()
			function()
		}()
	}
}

// runEventLoop passes the pushed events to a step function, at least loopsPerRenewalInterval times in a renewal interval, and
// reports changes of the state of serving after each step.
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

// AllowsQueries reports whether queries may be served by a version now, and if not, when clients should retry.
func (i *instance) AllowsQueries(version uint64) (open bool, retryDelay time.Duration) {
	if i.lease.Load().Allows(clock.Now(), version) {
		return true, 0
	}
	return false, retryAfter
}

// leaseRemainingMillis returns for how many milliseconds the lease still covers the served version.
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
