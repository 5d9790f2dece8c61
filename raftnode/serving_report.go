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
	reason   string // why the instance did not serve under a lease, without durations; empty: it did
	loggedAt time.Time
}

// reportServing logs when the instance begins or ends to serve under a lease.
func (i *instance) reportServing() {
	version := i.servedVersion.Load()
	lease := i.lease.Load()
	reason := lease.NotCoveredReason(clock.Now(), version)
	reasonWithoutDuration, _, _ := strings.Cut(reason, " for ")
	if reasonWithoutDuration == i.lastServingReport.reason {
		recent := time.Since(i.lastServingReport.loggedAt) < servingReportInterval
		if reason == "" || recent {
			return
		}
	}
	i.lastServingReport = servingReport{reason: reasonWithoutDuration, loggedAt: time.Now()}
	log := i.logWithState()
	switch {
	case reason == "":
		log.Info("serving under a lease")
	case i.config.ServeWhenStale && version > 0 && !lease.Removed:
		log.WithField("why", reason).Warn("serving without a lease, as configured")
	default:
		log.WithField("why", reason).Warn("not serving")
	}
}
