package policy

// withinRetryBudget counts over the rule's span, own tick's width to the careful side.
func (a *Aggregator) withinRetryBudget() bool {
	if a.settings.RetryBudgetWindow <= 0 {
		return true
	}
	old := a.now - a.settings.RetryBudgetWindow
	a.acceptedHistory = dropBefore(a.acceptedHistory, old+a.settings.Tick)
	a.retryHistory = dropBefore(a.retryHistory, old-a.settings.Tick)
	return float64(len(a.retryHistory)+1) <= a.settings.RetryBudgetMinimum+a.settings.RetryBudgetRatio*float64(len(a.acceptedHistory))
}

// recordForBudget notes one for the budget. Without a budget nothing would ever cut the list.
func (a *Aggregator) recordForBudget(list *[]historyEntry) {
	if a.settings.RetryBudgetWindow > 0 {
		*list = append(dropBefore(*list, a.now-a.settings.RetryBudgetWindow-a.settings.Tick), historyEntry{a.now, 1})
	}
}
