package policy

// smooth adds a sample to an exponentially weighted moving average. The gain, 0 to 1, is the weight of the sample.
func smooth(average *float64, sample, gain float64) {
	*average += gain * (sample - *average)
}
