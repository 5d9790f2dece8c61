//go:build !measure

package maintenance

// schedules is the number of schedules that TestNoScheduleViolatesRules runs in CI, which takes a few seconds under the
// race detector.
const schedules = 500
