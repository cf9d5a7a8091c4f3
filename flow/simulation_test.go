package flow_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/flow"
)

// The simulated sender reaches its receivers over one link with a FIFO queue. A
// call takes callCost of the link's capacity, and opening a connection, which a
// timed-out call makes necessary, connectCost.
const (
	linkRate    = 250.0 // units a second
	callCost    = 1.0
	connectCost = 0.3
	receivers   = 120
	baseTrip    = 20 * time.Millisecond
	// uselessAfter is the age at which a call that was not sent is given up.
	uselessAfter = 2 * time.Second
	fixedTimeout = 400 * time.Millisecond
	resendDelay  = 50 * time.Millisecond
)

// load is the offered work over time: overload times the link's rate from
// overloadFrom to overloadTo, and half of the link's rate at other times.
type load struct {
	overload                 float64
	overloadFrom, overloadTo time.Duration
	length                   time.Duration
}

func (l load) rate(at time.Duration) float64 {
	if at >= l.overloadFrom && at < l.overloadTo {
		return l.overload * linkRate
	}
	return 0.5 * linkRate
}

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Duration
	do  func()
	seq int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is the link with what is under way on it.
type world struct {
	now    time.Duration
	queue  events
	seq    int
	free   time.Duration // when the link has sent all that was given to it
	random *rand.Rand
	// done counts, by second, the calls whose first answer came in time.
	done map[int]int
	// silent marks receivers that give no answer.
	silent map[string]bool
}

func newWorld() *world {
	return &world{random: rand.New(rand.NewPCG(1, 2)), done: make(map[int]int), silent: make(map[string]bool)}
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, do, w.seq})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// transmit returns the time until the answer to a call given to the link now.
func (w *world) transmit(cost float64) time.Duration {
	w.free = max(w.free, w.now) + time.Duration(cost/linkRate*float64(time.Second))
	return w.free - w.now + baseTrip + time.Duration(w.random.IntN(5))*time.Millisecond
}

func (w *world) complete(wanted time.Duration) {
	if w.now-wanted < uselessAfter+fixedTimeout {
		w.done[int(w.now/time.Second)]++
	}
}

// offer calls submit at the rate of the load.
func (w *world) offer(l load, submit func(receiver string)) {
	var next func()
	next = func() {
		if w.now >= l.length {
			return
		}
		submit(fmt.Sprint(w.random.IntN(receivers)))
		w.after(time.Duration(float64(time.Second)/l.rate(w.now)), next)
	}
	w.after(0, next)
}

// fixedSender sends every call at once, waits fixedTimeout for the answer, and
// then resends on a new connection.
func fixedSender(w *world) func(receiver string) {
	var send func(receiver string, wanted time.Duration, cost float64, answered *bool)
	send = func(receiver string, wanted time.Duration, cost float64, answered *bool) {
		took := w.transmit(cost)
		if took <= fixedTimeout && !w.silent[receiver] {
			w.after(took, func() {
				if !*answered {
					*answered = true
					w.complete(wanted)
				}
			})
			return
		}
		w.after(fixedTimeout+resendDelay, func() { send(receiver, wanted, callCost+connectCost, answered) })
	}
	return func(receiver string) { send(receiver, w.now, callCost, new(bool)) }
}

// call is a call of flowSender.
type call struct{ wanted time.Duration }

// flowSender sends through a Queue and gives up calls that expire in it.
func flowSender(w *world, q *flow.Queue[call]) func(receiver string) {
	clock := func() time.Time { return time.Unix(0, 0).Add(w.now) }
	var sendQueued func()
	sendQueued = func() {
		q.Expired(clock())
		for {
			c, ok := q.Next(clock())
			if !ok {
				return
			}
			cost, sent, timeout := callCost, w.now, q.Timeout()
			if c.Attempt > 0 {
				cost += connectCost
			}
			took := w.transmit(cost)
			if took <= timeout && !w.silent[c.Receiver] {
				w.after(took, func() {
					q.Answered(clock(), c, w.now-sent)
					w.complete(c.Value.wanted)
					sendQueued()
				})
				continue
			}
			w.after(timeout, func() {
				q.TimedOut(clock(), c)
				resend := c
				resend.Attempt++
				w.after(resendDelay, func() { q.Add(clock(), resend); sendQueued() })
				sendQueued()
			})
		}
	}
	return func(receiver string) {
		q.Add(clock(), flow.Call[call]{
			Class: flow.ClassStart, Receiver: receiver, Expires: clock().Add(uselessAfter), Value: call{w.now},
		})
		sendQueued()
	}
}

func newFlowQueue() *flow.Queue[call] {
	return flow.NewQueue[call](time.Unix(0, 0), fixedTimeout, 2*time.Second)
}

// overloaded is the pattern of the collapse: three times the capacity for 5 s,
// then half of it.
var overloaded = load{overload: 3, overloadFrom: 5 * time.Second, overloadTo: 10 * time.Second, length: 30 * time.Second}

// A sender that resends after a fixed time does not recover from an overload of
// seconds: its own resends keep the link full. A Queue serves 90% of the link's
// capacity during the overload and everything that is offered 3 s after it.
func TestQueue_NoCollapseAfterOverload(t *testing.T) {
	w := newWorld()
	w.offer(overloaded, flowSender(w, newFlowQueue()))
	w.run(overloaded.length)
	for second := 6; second < 10; second++ {
		if got := float64(w.done[second]) / linkRate; got < 0.9 {
			t.Errorf("second %d, overloaded: served %.2f of the capacity, want at least 0.9", second, got)
		}
	}
	for second := 13; second < 29; second++ {
		if got := float64(w.done[second]) / (0.5 * linkRate); got < 0.95 {
			t.Errorf("second %d, after the overload: served %.2f of what was offered, want at least 0.95", second, got)
		}
	}
}

// The simulation must show the collapse that the Queue prevents.
func TestSimulation_FixedTimeoutCollapses(t *testing.T) {
	w := newWorld()
	w.offer(overloaded, fixedSender(w))
	w.run(overloaded.length)
	if got := w.done[25]; float64(got) > 0.1*linkRate {
		t.Errorf("second 25: served %d calls without flow control, want a collapse", got)
	}
}

// Receivers that give no answer must not slow down the calls to the others.
func TestQueue_SilentReceiversDoNotLowerTheWindow(t *testing.T) {
	w := newWorld()
	for i := range receivers / 5 {
		w.silent[fmt.Sprint(i)] = true
	}
	q := newFlowQueue()
	calm := load{length: 10 * time.Second}
	w.offer(calm, flowSender(w, q))
	w.run(calm.length)
	const answering = 0.5 * linkRate * 0.8
	for second := 2; second < 9; second++ {
		if got := float64(w.done[second]) / answering; got < 0.95 {
			t.Errorf("second %d: served %.2f of the calls to answering receivers, want at least 0.95", second, got)
		}
	}
}

// BenchmarkGoodput prints the calls answered in time, as a fraction of the
// link's capacity, under sustained overload and 5 s after it.
func BenchmarkGoodput(b *testing.B) {
	for _, overload := range []float64{1, 2, 3, 5} {
		l := load{overload: overload, overloadFrom: 5 * time.Second, overloadTo: 15 * time.Second, length: 30 * time.Second}
		for _, sender := range []struct {
			name string
			make func(w *world) func(receiver string)
		}{
			{"fixed", fixedSender},
			{"flow", func(w *world) func(string) { return flowSender(w, newFlowQueue()) }},
		} {
			b.Run(fmt.Sprintf("%gx/%s", overload, sender.name), func(b *testing.B) {
				for range b.N {
					w := newWorld()
					w.offer(l, sender.make(w))
					w.run(l.length)
					during, after := 0, 0
					for second := 8; second < 15; second++ {
						during += w.done[second]
					}
					for second := 20; second < 29; second++ {
						after += w.done[second]
					}
					b.ReportMetric(float64(during)/7/linkRate, "during")
					b.ReportMetric(float64(after)/9/linkRate, "after")
				}
			})
		}
	}
}
