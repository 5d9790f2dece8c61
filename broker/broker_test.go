package broker

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"alderproxy/policy"
)

// transport records what the owner asks of it.
type transport struct {
	sent, given chan *Attempt
	refuse      error
	sending     func(*Attempt) // called as a call is handed over
}

func (f *transport) Send(_ uint32, call []*Attempt) error {
	if f.sending != nil {
		f.sending(call[0])
	}
	if f.refuse != nil {
		return f.refuse
	}
	for _, a := range call {
		f.sent <- a
	}
	return nil
}
func (f *transport) Cancel(a *Attempt)           { f.given <- a }
func (f *transport) CloseIdleConnections(uint32) {}
func (f *transport) CheckHealth(_ uint32, done func(AttemptResult)) {
	go done(AttemptResult{Report: policy.NoLoadReport})
}

type sink chan Response

func (s sink) Respond(a Response) { s <- a }

func settings(effect policy.Idempotency) policy.Settings {
	return policy.Settings{
		InstanceCount: 1, Tick: 5000, Shards: 1, RingSize: 1, ReplicationFactor: 1, MaxAttempts: 2, AllowCancel: true,
		SendRetryAfter: true, MaxRetryAfter: 1_000_000, Classes: []policy.Class{{
			Name: "c", LatencyObjective: 300_000, Timeout: 900_000, PriorityWeight: 1,
			RequiredCoverage: 1, MinCoverage: 1, Idempotency: effect, DeduplicationWindow: 900_000,
		}},
	}
}

func start(t *testing.T, set policy.Settings) (*Broker, *transport) {
	to := &transport{sent: make(chan *Attempt, 64), given: make(chan *Attempt, 64)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b, err := New(Config{Settings: set, Transport: to, Log: logrus.NewEntry(log)})
	require.NoError(t, err)
	t.Cleanup(b.Close)
	b.UpdateEndpoints([]policy.Endpoint{{ID: 1, State: policy.Ready}, {ID: 2, State: policy.Ready}})
	return b, to
}

func submit(b *Broker, wait time.Duration) (*Query, sink) {
	s := make(sink, 8)
	q := &Query{ID: "q", Deadline: time.Now().Add(wait), Parts: []Part{{Weight: 1}}, Responder: s}
	b.Submit(q)
	return q, s
}

// learn has the broker see so many queries answered at once, by the transport itself: no pause of the test's own goroutine
// counts as a store's time.
func learn(t *testing.T, b *Broker, to *transport, n int) {
	to.sending = func(a *Attempt) {
		assert.True(t, a.Start())
		served(a) // from within a call of the owner's, whose queue has room
	}
	for range n {
		_, s := submit(b, time.Hour)
		<-to.sent
		require.Equal(t, Served, (<-s).Status)
	}
	to.sending = nil
}

func served(a *Attempt) {
	a.Finish(AttemptResult{Status: policy.OK, Report: policy.NoLoadReport, Value: []byte("v")})
}

func TestOneFinalAnswerHoweverOftenAnAttemptEnds(t *testing.T) {
	b, to := start(t, settings(policy.Idempotent))
	_, s := submit(b, time.Second)
	a := <-to.sent
	require.True(t, a.Start())
	for range 3 {
		served(a)
	}
	assert.Equal(t, Response{Status: Served, Complete: true, Parts: []PartResult{{0, []byte("v")}}}, <-s)
	_, next := submit(b, time.Second) // its answer shows that all of the above was taken in
	served(<-to.sent)
	<-next
	assert.Empty(t, s)
}

// What was not begun has never run, and so a keyed query may be refused; one that was begun may not.
// What is over must not be held up to its deadline: a long one would keep every query and its values in memory.
func TestNothingIsKeptOfAQueryThatIsOver(t *testing.T) {
	b, to := start(t, settings(policy.Idempotent))
	learn(t, b, to, 50)
	b.Close()
	assert.Less(t, len(b.timers), 10) // the decisions' own
	assert.Empty(t, b.queriesByID)
	assert.Empty(t, b.partsByID)
}

func TestTimeOutTellsWhetherItMayHaveRun(t *testing.T) {
	for begin, want := range map[bool]Status{true: Failed, false: Rejected} {
		b, to := start(t, settings(policy.IdempotentByKey))
		_, s := submit(b, 150*time.Millisecond)
		a := <-to.sent
		if begin {
			require.True(t, a.Start())
		}
		assert.Same(t, a, <-to.given)
		assert.Equal(t, !begin, a.Withdraw())
		assert.False(t, a.Start(), "given up and written all the same")
		answer := <-s
		assert.Equal(t, want, answer.Status)
		assert.True(t, answer.DeadlineExceeded)
	}
}

func TestAnswersComeBeforeTheClientsTimeIsUp(t *testing.T) {
	b, _ := start(t, settings(policy.Idempotent))
	q, s := submit(b, 100*time.Millisecond)
	assert.Equal(t, Rejected, (<-s).Status)
	assert.True(t, time.Now().Before(q.Deadline.Add(20*time.Millisecond)))
	_, s = submit(b, -time.Millisecond)
	assert.True(t, (<-s).DeadlineExceeded)
}

func TestClientThatLeftHasItsAttemptsCanceled(t *testing.T) {
	b, to := start(t, settings(policy.Idempotent))
	q, s := submit(b, time.Second)
	a := <-to.sent
	b.Cancel(q)
	assert.Same(t, a, <-to.given)
	assert.Empty(t, s)
}

func TestAttemptThatCannotBeSentIsTriedAgain(t *testing.T) {
	set := settings(policy.IdempotentByKey)
	b, to := start(t, set)
	to.refuse = errors.New("no way")
	_, s := submit(b, time.Second)
	answer := <-s
	assert.Equal(t, Rejected, answer.Status)
	assert.True(t, answer.PartsFailed)
	assert.Equal(t, time.Second, answer.RetryAfter)
}

func TestMaxOpenIsRefusedAtOnceAndFreedAgain(t *testing.T) {
	set := settings(policy.Idempotent)
	set.MaxOpen = 2
	b, to := start(t, set)
	_, first := submit(b, time.Second)
	a := <-to.sent
	_, second := submit(b, time.Second)
	assert.Equal(t, Response{Status: Rejected, RetryAfter: time.Second}, <-second)
	served(a)
	<-first
	_, third := submit(b, time.Second)
	served(<-to.sent)
	assert.Equal(t, Served, (<-third).Status)
}

func TestDrainEndsWhatIsOpenByItsCutoff(t *testing.T) {
	b, to := start(t, settings(policy.IdempotentByKey))
	_, s := submit(b, 10*time.Second)
	require.True(t, (<-to.sent).Start())
	idle := b.Drain(time.Now().Add(50 * time.Millisecond))
	assert.Equal(t, Failed, (<-s).Status)
	<-idle
	_, s = submit(b, time.Second)
	assert.Equal(t, Rejected, (<-s).Status)
}

func TestTwoStepsAreRefused(t *testing.T) {
	set := settings(policy.Idempotent)
	set.Classes[0].FetchParts = 1
	_, err := New(Config{Settings: set})
	assert.ErrorIs(t, err, ErrFetchPhaseUnsupported)
}

// A change of terms under an open query: it is answered as it was taken, what was read by the old terms and comes
// behind is sent back to be read again, and new queries are taken by the new ones.
func TestTermsChangeUnderOpenQueries(t *testing.T) {
	b, to := start(t, settings(policy.Idempotent))
	old := b.Terms()
	ask := func(terms *Terms) sink {
		s := make(sink, 8)
		b.Submit(&Query{Deadline: time.Now().Add(5 * time.Second), Parts: []Part{{Weight: 1}}, Responder: s, Terms: terms})
		return s
	}
	open := ask(old)
	a := <-to.sent
	next := &Terms{Version: 2, Settings: settings(policy.Idempotent)}
	next.Settings.Classes = []policy.Class{{Name: "other", LatencyObjective: 50_000, Timeout: 50_000, PriorityWeight: 1, RequiredCoverage: 1, MinCoverage: 1}}
	require.NoError(t, b.SetTerms(next))
	assert.Equal(t, Response{Status: Rejected, StaleTerms: true}, <-ask(old))
	assert.Same(t, next, b.Terms())
	by := ask(next)
	(<-to.sent).Finish(AttemptResult{Status: policy.OK, Report: policy.NoLoadReport})
	answer := <-by
	assert.Equal(t, Served, answer.Status)
	assert.Equal(t, uint64(2), answer.Version)
	time.Sleep(60 * time.Millisecond) // past what the new class waits: the open query must not be cut by it
	served(a)
	answer = <-open
	assert.Equal(t, Served, answer.Status)
	assert.Equal(t, uint64(0), answer.Version)
}

func TestTermsThatCannotBeUsedChangeNothing(t *testing.T) {
	b, _ := start(t, settings(policy.Idempotent))
	old := b.Terms()
	two := &Terms{Version: 2, Settings: settings(policy.Idempotent)}
	two.Settings.Classes[0].FetchParts = 1
	assert.ErrorIs(t, b.SetTerms(two), ErrFetchPhaseUnsupported)
	assert.Error(t, b.SetTerms(&Terms{Version: 3}))
	_, s := submit(b, 20*time.Millisecond)
	<-s
	assert.Same(t, old, b.Terms())
}

// The gate is asked as each query is taken, with the terms it would be taken by; what is open when it closes is
// still answered.
func TestClosedGateRefusesAtOnceAndKeepsWhatWasTaken(t *testing.T) {
	to := &transport{sent: make(chan *Attempt, 64), given: make(chan *Attempt, 64)}
	closed := make(chan bool, 1)
	b, err := New(Config{
		Terms: &Terms{Version: 7, Settings: settings(policy.Idempotent)}, Transport: to,
		Log: logrus.NewEntry(logrus.New()), Gate: func(t *Terms) (bool, time.Duration) {
			select {
			case <-closed:
				closed <- true
				return false, 3 * time.Second
			default:
				return t.Version == 7, 0
			}
		},
	})
	require.NoError(t, err)
	t.Cleanup(b.Close)
	b.UpdateEndpoints([]policy.Endpoint{{ID: 1, State: policy.Ready}})
	_, open := submit(b, 5*time.Second)
	a := <-to.sent
	closed <- true
	_, s := submit(b, 5*time.Second)
	assert.Equal(t, Response{Status: Rejected, GateClosed: true, RetryAfter: 3 * time.Second}, <-s)
	served(a)
	assert.Equal(t, Served, (<-open).Status)
}

// A client leaves between the decision to send and the write, before the owner hears of it: nothing goes out. And what
// waits to be written is taken back at once, whether the settings let attempts be cancelled at stores or not.
func TestNothingIsBegunForAClientThatLeft(t *testing.T) {
	for _, may := range []bool{true, false} {
		set := settings(policy.Idempotent)
		set.AllowCancel = may
		set.Classes[0].LatencyObjective, set.Classes[0].Timeout = time.Hour.Microseconds(), time.Hour.Microseconds()
		b, to := start(t, set)
		var q *Query
		to.sending = func(a *Attempt) {
			b.Cancel(q)
			assert.False(t, a.Start(), "the owner has yet to hear of it")
		}
		s := make(sink, 8)
		q = &Query{ID: "q", Deadline: time.Now().Add(time.Hour), Parts: []Part{{Weight: 1}}, Responder: s}
		require.True(t, b.Submit(q))
		a := <-to.sent
		select {
		case given := <-to.given:
			assert.Same(t, a, given)
		case <-time.After(5 * time.Second):
			require.Fail(t, "its attempt is held", "may cancel: %v", may)
		}
		to.sending = nil
		_, next := submit(b, time.Second)
		served(<-to.sent)
		<-next
		assert.Empty(t, s)
		b.Close()
		assert.Empty(t, b.partsByID, "its attempt is held for good")
	}
}

// Many queries of one client are all marked before word of the first waits for an owner that is held up.
func TestNothingIsBegunOfManyQueriesOfAClientThatLeft(t *testing.T) {
	to := &transport{sent: make(chan *Attempt, 64), given: make(chan *Attempt, 64)}
	held, release := make(chan *Attempt), make(chan struct{})
	calls := 0
	to.sending = func(a *Attempt) {
		if calls++; calls == 2 {
			held <- a
			<-release
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b, err := New(Config{Settings: settings(policy.Idempotent), Transport: to, Log: logrus.NewEntry(log), QueueLength: 1})
	require.NoError(t, err)
	t.Cleanup(b.Close)
	b.UpdateEndpoints([]policy.Endpoint{{ID: 1, State: policy.Ready}, {ID: 2, State: policy.Ready}})
	first, _ := submit(b, time.Second)
	waits := <-to.sent
	second, _ := submit(b, time.Second)
	last := <-held
	submit(b, time.Second) // fills the owner's queue
	done := make(chan struct{})
	go func() { b.Cancel(first, second); close(done) }()
	assert.Eventually(t, second.canceled.Load, 5*time.Second, time.Millisecond)
	assert.False(t, waits.Start())
	assert.False(t, last.Start())
	select {
	case <-done:
		assert.Fail(t, "the owner was not held up")
	default:
	}
	close(release)
	<-done
}

// An attempt for which nobody waits any longer is not begun, though the owner has yet to come to its timer.
func TestNothingIsBegunAfterItsTime(t *testing.T) {
	b, to := start(t, settings(policy.Idempotent))
	began := make(chan bool, 1)
	to.sending = func(a *Attempt) {
		time.Sleep(time.Until(a.Deadline)) // the rule is about time
		began <- a.Start()
	}
	submit(b, 100*time.Millisecond)
	assert.False(t, <-began)
}

// A second copy is due, and its client leaves between the decision to send it and the write.
func TestNoSecondCopyIsBegunForAClientThatLeft(t *testing.T) {
	set := settings(policy.Idempotent)
	set.AllowHedging = true
	b, to := start(t, set)
	learn(t, b, to, 20)
	var q *Query
	to.sending = func(a *Attempt) {
		if a.number == 1 {
			b.Cancel(q)
			assert.False(t, a.Start(), "the owner has yet to hear of it")
		}
	}
	s := make(sink, 8)
	q = &Query{ID: "q", Deadline: time.Now().Add(time.Second), Parts: []Part{{Weight: 1}}, Responder: s}
	require.True(t, b.Submit(q))
	require.True(t, (<-to.sent).Start())
	second := <-to.sent
	assert.Equal(t, 1, second.number)
	assert.False(t, second.Start())
	for range 2 { // both are given up
		<-to.given
	}
	assert.Empty(t, s)
}

// A keyed part that may have run is sent again within the time in which stores drop repeats only: to decide so in time is
// not enough, since an attempt may wait for its connection.
func TestRepeatIsNotBegunAfterItsWindow(t *testing.T) {
	for _, c := range []struct {
		begun  bool
		status policy.Status
		late   bool // it may not be begun after the window
	}{{true, policy.ConnectionBroken, true}, {true, policy.ServerError, true}, {true, policy.Rejected, false}, {false, policy.ConnectFailed, false}} {
		set := settings(policy.IdempotentByKey)
		set.Classes[0].DeduplicationWindow = 100_000
		b, to := start(t, set)
		submit(b, 5*time.Second)
		first := <-to.sent
		if c.begun {
			require.True(t, first.Start())
		}
		first.Finish(AttemptResult{Status: c.status, Report: policy.NoLoadReport})
		second := <-to.sent
		time.Sleep(time.Until(first.sentAt.Add(110 * time.Millisecond))) // the rule is about time
		assert.Equal(t, !c.late, second.Start(), c.status)
	}
}
