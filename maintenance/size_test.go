//go:build !measure

package maintenance

// schedules are those of CI: half a second each hundred, five under the race detector.
const schedules = 500
