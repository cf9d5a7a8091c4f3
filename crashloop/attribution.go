package crashloop

import "time"

const (
	// olderFactor and ageSlack bound the age of suspects: a run that had been going
	// for longer than olderFactor times the age of the youngest, plus ageSlack for
	// the delay of orders and answers, is the less likely cause, since a task that
	// crashes its server mostly does so early.
	olderFactor = 10
	ageSlack    = 100 * time.Millisecond
	// provenAge is the age from which a run is the less likely cause whatever ran beside
	// it. Where all runs are long-running ones, one of them crashing its server now is
	// less likely than a fault of the server.
	provenAge = 3 * time.Second
	// settleTime is how much older than a trial a run beside it has to be in order not
	// to explain a crash as well as the trial does.
	settleTime = 300 * time.Millisecond
)

// Run is one run on a server that crashed.
type Run struct {
	// Age is the time from the start order to the crash.
	Age time.Duration
	// OnTrial marks the runs of a trial.
	OnTrial bool
}

// Attribute returns what the crash of a server shows about each of its runs, or 0 for
// nothing. Outage says that several servers crashed at that time.
//
// The crash of a server on which a trial was under way is explained by the trial,
// unless something else had just been started there.
func Attribute(runs []Run, outage bool) []Kind {
	out := make([]Kind, len(runs))
	var youngest time.Duration
	onTrial, disturbed := false, false
	for i, r := range runs {
		if i == 0 || r.Age < youngest {
			youngest = r.Age
		}
		onTrial = onTrial || r.OnTrial
	}
	likely := min(youngest*olderFactor+ageSlack, provenAge)
	for _, r := range runs {
		disturbed = disturbed || !r.OnTrial && r.Age <= likely && !Settled(r.Age-youngest)
	}
	for i, r := range runs {
		switch {
		case outage:
			out[i] = Weak
		case onTrial && !disturbed:
			if r.OnTrial {
				out[i] = Alone
			}
		case r.Age <= likely:
			out[i] = Shared
		default:
			out[i] = Weak
		}
	}
	return out
}

// Settled reports whether a trial may begin beside a run of that age.
func Settled(age time.Duration) bool { return age >= settleTime }
