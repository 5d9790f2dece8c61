//go:build measure

package maintenance

// schedules is the number of schedules of the long model check.
const schedules = 200_000
