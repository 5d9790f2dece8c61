package policy

// retryBudget holds the times of the events that count toward the retry budget.
type retryBudget struct {
	accepted []timedAmount // queries and parts
	retries  []timedAmount
}

// withinRetryBudget reports whether the budget permits another retry. As a safety margin, the window is one tick shorter
// for accepted queries and parts and one tick longer for retries.
func (a *Aggregator) withinRetryBudget() bool {
	if a.settings.RetryBudgetWindow <= 0 {
		return true
	}
	windowStart := a.now - a.settings.RetryBudgetWindow
	a.retryBudget.accepted = dropBefore(a.retryBudget.accepted, windowStart+a.settings.Tick)
	a.retryBudget.retries = dropBefore(a.retryBudget.retries, windowStart-a.settings.Tick)
	retries := float64(len(a.retryBudget.retries) + 1)
	accepted := float64(len(a.retryBudget.accepted))
	return retries <= a.settings.RetryBudgetMinimum+a.settings.RetryBudgetRatio*accepted
}

// recordForBudget adds the current time to one of the budget's histories. Without a budget it adds nothing, since the
// history would never be trimmed.
func (a *Aggregator) recordForBudget(history *[]timedAmount) {
	if a.settings.RetryBudgetWindow <= 0 {
		return
	}
	oldest := a.now - a.settings.RetryBudgetWindow - a.settings.Tick
	*history = append(dropBefore(*history, oldest), timedAmount{a.now, 1})
}
