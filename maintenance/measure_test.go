//go:build measure

package maintenance

// schedules are those of the long model check.
const schedules = 200_000
