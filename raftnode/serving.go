package raftnode

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"alderproxy/internal/clock"
	"alderproxy/raftstore"
	"alderproxy/sharedconfig"
)

// serving is what instances with and without a vote have in common: they serve by a version under a lease.
type serving struct {
	Config
	store    *raftstore.Store
	lease    atomic.Pointer[sharedconfig.Lease]
	used     atomic.Uint64 // the version that Use was last called for without an error
	reason   string        // the loop's: why it does not serve as agreed, as logged last, and when that was
	reported time.Time
	fields   func() *logrus.Entry // the log with what every line about the agreement tells

	wake    chan struct{}
	stop    chan struct{}
	use     chan sharedconfig.Version
	stopped sync.WaitGroup
}

func newServing(c Config) serving {
	return serving{Config: c, wake: make(chan struct{}, 1), stop: make(chan struct{}), use: make(chan sharedconfig.Version, 1)}
}

// run starts the instance's goroutines, which end by stop.
func (s *serving) run(all ...func()) {
	for _, run := range all {
		s.stopped.Add(1)
		go func() { defer s.stopped.Done(); run() }()
	}
}

// last is the version that was served last, from the folder; its number is 0 where there is none.
func (s *serving) last() (v sharedconfig.Version, err error) {
	text, err := s.store.Metadata(selfActive)
	if err != nil || text == "" {
		return v, err
	}
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return v, fmt.Errorf("folder %s: the version served last: %w", s.DataDirectory, err)
	}
	return v, nil
}

// activate has follow serve by a version: of several only the newest counts.
func (s *serving) activate(v sharedconfig.Version) {
	select {
	case <-s.use:
	default:
	}
	s.use <- v
}

func (s *serving) tick() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// leaseLeft is how many milliseconds longer this instance may serve by what it serves by; 0: it may not.
func (s *serving) leaseLeft() int64 {
	lease, used, at := s.lease.Load(), s.used.Load(), clock.Now()
	if !lease.Holds(at, used) {
		return 0
	}
	return (lease.Until(used) - at) / 1000
}

// ServedVersion is the version that this instance serves by; 0: none.
func (s *serving) ServedVersion() uint64 { return s.used.Load() }

// Gate tells whether queries may be taken by a version at this moment, and if not, when to come back.
func (s *serving) Gate(version uint64) (open bool, comeBack time.Duration) {
	if s.lease.Load().Allows(clock.Now(), version) {
		return true, 0
	}
	return false, retryAfter
}

// retryAfter is when clients that were refused for want of agreement may try again: it may be back at any time.
const retryAfter = time.Second

// reportEvery is how often it is said again while it lasts.
const reportEvery = 30 * time.Second

// report logs when this instance begins or ends not to serve as agreed.
func (s *serving) report() {
	version := s.used.Load()
	reason := s.lease.Load().Reason(clock.Now(), version)
	kind, _, _ := strings.Cut(reason, " for ") // the time in it grows
	if kind == s.reason && (kind == "" || time.Since(s.reported) < reportEvery) {
		return
	}
	s.reason, s.reported = kind, time.Now()
	log := s.fields()
	switch {
	case reason == "":
		log.Info("agreement holds")
	case s.ServeWhenStale && version > 0 && !s.lease.Load().Removed:
		log.WithField("why", reason).Warn("serving without agreement, as the settings say")
	default:
		log.WithField("why", reason).Warn("not serving")
	}
}

// follow has the instance serve by each version that becomes active.
func (s *serving) follow() {
	for {
		select {
		case v := <-s.use:
			if s.serve(v) {
				text, err := json.Marshal(v)
				if err == nil {
					err = s.store.SetMetadata(selfActive, string(text))
				}
				if err != nil {
					s.Log.WithError(err).Error("the version in use could not be kept")
				}
			}
			s.tick()
		case <-s.stop:
			return
		}
	}
}

// serve has the instance serve by a version.
func (s *serving) serve(v sharedconfig.Version) bool {
	log := s.fields().WithFields(logrus.Fields{"version": v.Number, "digest": v.Digest, "author": v.Author, "reason": v.Reason})
	if err := s.Activate(v); err != nil {
		log.WithError(err).Error("the agreed document cannot be served here: the last one stands until the bound passes")
		return false
	}
	s.used.Store(v.Number)
	log.Info("version active")
	return true
}
