package sharedconfig

import "maps"

// leaseRetryDivisor is how much more often an instance requests a lease while its last request is not granted. The
// group may have a leader only for a short time.
const leaseRetryDivisor = 8

// requestLease requests a lease when one is due. Requests are frequent enough that several in a row may be lost before
// the staleness bound passes.
func (c *Core) requestLease() {
	if c.lease.Removed || c.now < c.leaseRequestedAt+c.leaseRequestInterval() {
		return
	}
	maps.DeleteFunc(c.leaseRequests, func(_ uint64, requestedAt Micros) bool {
		return requestedAt+c.settings.StalenessBound <= c.now
	})
	c.lastLeaseRequest++
	c.leaseRequests[c.lastLeaseRequest] = c.now
	c.leaseRequestedAt = c.now
	c.emit(RequestLease{Seq: c.lastLeaseRequest})
}

func (c *Core) leaseRequestInterval() Micros {
	_, isPending := c.leaseRequests[c.lastLeaseRequest]
	if isPending || c.lastLeaseRequest == 0 {
		return c.settings.LeaseRenewalInterval / leaseRetryDivisor
	}
	return c.settings.LeaseRenewalInterval
}

func (c *Core) handleLeaseGranted(e LeaseReplyReceived) {
	requestedAt, isPending := c.leaseRequests[e.Seq]
	if !isPending || !e.OK {
		return
	}
	delete(c.leaseRequests, e.Seq)
	if e.Removed {
		c.lease = Lease{Removed: true}
		c.emit(SetLease{Lease: c.lease})
		c.logf("this instance was removed from its group: it stops serving")
		return
	}
	until := grantUntil(requestedAt, c.settings.StalenessBound)
	if until <= c.now {
		return
	}
	c.lease = c.lease.withGrant(Grant{Version: e.Version, ExpiresAt: until}, c.now)
	c.emit(SetLease{Lease: c.lease})
}

// handleLeaseRequested queues a lease request for the next verification. One in flight may have begun before the
// request and would not count for it.
func (c *Core) handleLeaseRequested(e LeaseRequested) {
	if !c.leading || !c.ready {
		c.emit(LeaseReply{CallID: e.CallID})
		return
	}
	c.lastRequestFrom[e.InstanceID] = c.now
	c.waitingLeases = append(c.waitingLeases, e)
}

// startVerification verifies the leadership for the waiting lease requests. It waits while a newer version may be
// active that is not applied here, since a grant must not confirm a replaced version.
func (c *Core) startVerification() {
	if len(c.waitingLeases) == 0 || c.verificationSeq != 0 || c.mayBeActivating() {
		return
	}
	c.lastSeq++
	c.verificationSeq = c.lastSeq
	c.verifyingLeases = c.waitingLeases
	c.waitingLeases = nil
	c.verifyingVersion = c.state.Active().Number
	c.emit(VerifyLeadership{Seq: c.verificationSeq})
}

// handleVerified answers the lease requests that waited for the verification. It confirms the version that was active
// when the verification began.
func (c *Core) handleVerified(e VerifyLeadershipResult) {
	if e.Seq != c.verificationSeq {
		return
	}
	isLeader := e.OK && e.Term == c.term
	for _, request := range c.verifyingLeases {
		answer := LeaseReply{CallID: request.CallID}
		if isLeader && c.verifyingVersion > 0 {
			_, isMember := c.findMember(func(m Member) bool { return m.InstanceID == request.InstanceID })
			answer.Version = c.verifyingVersion
			answer.Removed = c.state.IsRetired(request.InstanceID)
			answer.OK = isMember || answer.Removed
		}
		c.emit(answer)
	}
	c.verifyingLeases = nil
	c.verificationSeq = 0
}
