//go:build measure

package maintenance

// schedules is the number of schedules that TestNoScheduleViolatesRules runs with the build tag measure.
const schedules = 200_000
