package policy

// smooth moves an exponentially weighted moving average toward a sample by the gain, 0 to 1.
func smooth(average *float64, sample, gain float64) {
	*average += gain * (sample - *average)
}
