package platformsettings

import "alderproxy/policy"

const (
	// maxLoadValue is the exclusive upper limit of the values of a load report.
	maxLoadValue         = 1e9
	microsPerMillisecond = 1000
)

// LoadReport returns the load report with the given values, whose names are the setting feedback.columns, in this order.
// Values that are negative, NaN, or 1e9 and above count as not reported.
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
		if !(value >= 0 && value < maxLoadValue) { // true for NaN too
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
