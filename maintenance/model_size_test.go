//go:build !measure

package maintenance

// schedules is the number of schedules of the model check in CI, which takes a few seconds under the race detector.
const schedules = 500
