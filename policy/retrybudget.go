package policy

// retryBudget is what counts toward the retry budget within its window.
type retryBudget struct {
	accepted []timedAmount // queries and parts
	retries  []timedAmount
}

// withinRetryBudget reports whether another retry fits the budget. To stay on the safe side, the window is one tick
// narrower for accepted queries and parts, and one tick wider for retries.
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

// recordForBudget adds an entry to a history of the budget. Without a budget nothing would ever trim the history.
func (a *Aggregator) recordForBudget(history *[]timedAmount) {
	if a.settings.RetryBudgetWindow <= 0 {
		return
	}
	oldest := a.now - a.settings.RetryBudgetWindow - a.settings.Tick
	*history = append(dropBefore(*history, oldest), timedAmount{a.now, 1})
}
