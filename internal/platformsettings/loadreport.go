package platformsettings

import "alderproxy/policy"

// Limits on the values of a load report, and its unit of time.
const (
	maxLoadValue         = 1e9
	microsPerMillisecond = 1000
)

// LoadReport returns the load report with some values, in the order of the settings' columns. Values that are negative, too
// large or not numbers count as not reported.
func (v *Values) LoadReport(values []float32) policy.LoadReport {
	report := policy.NoLoadReport
	fields := map[string]*float64{
		"active":  &report.InFlight,
		"waiting": &report.Queued,
		"cpu":     &report.Utilization,
		"rps":     &report.RequestRate,
		"err_rps": &report.ErrorRate,
	}
	for i, reported := range values[:min(len(values), len(v.loadColumns))] {
		value := float64(reported)
		if !(value >= 0 && value < maxLoadValue) { // also where it is not a number
			continue
		}
		if field := fields[v.loadColumns[i]]; field != nil {
			*field = value
		} else if v.loadColumns[i] == "avg_ms" {
			report.Latency = policy.Micros(value * microsPerMillisecond)
		}
	}
	return report
}
