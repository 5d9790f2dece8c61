package policy

// withinRetryBudget reports whether another retry fits the budget. The window is one tick narrower for accepted
// queries and parts, and one tick wider for retries, than the rule demands: the owner may count by another clock.
func (a *Aggregator) withinRetryBudget() bool {
	if a.settings.RetryBudgetWindow <= 0 {
		return true
	}
	windowStart := a.now - a.settings.RetryBudgetWindow
	a.acceptedHistory = dropBefore(a.acceptedHistory, windowStart+a.settings.Tick)
	a.retryHistory = dropBefore(a.retryHistory, windowStart-a.settings.Tick)
	retries := float64(len(a.retryHistory) + 1)
	accepted := float64(len(a.acceptedHistory))
	return retries <= a.settings.RetryBudgetMinimum+a.settings.RetryBudgetRatio*accepted
}

// recordForBudget adds an entry to a history of the budget. Without a budget nothing would ever trim the history.
func (a *Aggregator) recordForBudget(history *[]historyEntry) {
	if a.settings.RetryBudgetWindow <= 0 {
		return
	}
	oldest := a.now - a.settings.RetryBudgetWindow - a.settings.Tick
	*history = append(dropBefore(*history, oldest), historyEntry{a.now, 1})
}
