package raftnode

import (
	"strings"
	"time"

	"alderproxy/internal/clock"
)

// servingReportInterval is how often an unchanged reason for not serving under a lease is logged.
const servingReportInterval = 30 * time.Second

// servingReport is what reportServing logged last.
type servingReport struct {
	reason string // why the instance did not serve under a lease, without durations; empty: it did
	at     time.Time
}

// reportServing logs when the instance begins or ends to serve under a lease.
func (i *instance) reportServing() {
	version := i.servedVersion.Load()
	lease := i.lease.Load()
	reason := lease.NotCoveredReason(clock.Now(), version)
	reasonWithoutDuration, _, _ := strings.Cut(reason, " for ")
	if reasonWithoutDuration == i.serving.reason {
		recent := time.Since(i.serving.at) < servingReportInterval
		if reason == "" || recent {
			return
		}
	}
	i.serving = servingReport{reason: reasonWithoutDuration, at: time.Now()}
	log := i.logEntry()
	switch {
	case reason == "":
		log.Info("serving under a lease")
	case i.config.ServeWhenStale && version > 0 && !lease.Removed:
		log.WithField("why", reason).Warn("serving without a lease, as configured")
	default:
		log.WithField("why", reason).Warn("not serving")
	}
}
