package policy

// retryBudget is what counts toward the retry budget within its window.
type retryBudget struct {
	accepted []historyEntry // queries and parts
	retries  []historyEntry
}

// withinRetryBudget reports whether another retry fits the budget. To stay on the safe side, the window is one tick
// narrower for accepted queries and parts, and one tick wider for retries.
func (a *Aggregator) withinRetryBudget() bool {
	if a.settings.RetryBudgetWindow <= 0 {
		return true
	}
	windowStart := a.now - a.settings.RetryBudgetWindow
	a.budget.accepted = dropBefore(a.budget.accepted, windowStart+a.settings.Tick)
	a.budget.retries = dropBefore(a.budget.retries, windowStart-a.settings.Tick)
	retries := float64(len(a.budget.retries) + 1)
	accepted := float64(len(a.budget.accepted))
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
