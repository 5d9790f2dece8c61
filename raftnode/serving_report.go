package raftnode

import (
	"strings"
	"time"

	"alderproxy/internal/clock"
)

// servingReportInterval is the time after which an unchanged reason for not serving under a lease is logged again.
const servingReportInterval = 30 * time.Second

// servingReport is the last log line of reportServing.
type servingReport struct {
	reason   string // why the instance did not serve under a lease, up to the duration; empty: it did
	loggedAt time.Time
}

// reportServing logs whether the instance serves under a lease when this or the reason has changed. It repeats the reason
// for not doing so after servingReportInterval. Reasons are compared up to their first " for ", which a duration follows.
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
