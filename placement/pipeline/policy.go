package pipeline

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/currantwinch/currantwinch/document"
	"github.com/tailscale/hujson"
)

//go:embed policies.json
var defaultPolicies []byte

// Policy configures the placement of one workload class.
type Policy struct {
	Order Order `json:"order"`
	// Candidates is the maximum number of workers that are scored.
	Candidates int `json:"candidates"`
	// PerDomain applies Candidates to each pool of a failure domain separately.
	PerDomain bool `json:"perDomain,omitempty"`
	// PackTogether packs the tasks that wait as one group while there is
	// capacity for all of them.
	PackTogether bool `json:"waves,omitempty"`
	// LocalFirst tries the workers first that are owned by the same daemon as
	// the job's home: other daemons rarely change their accounts.
	LocalFirst bool             `json:"local,omitempty"`
	Filters    []string         `json:"filters"`
	Weights    map[string]int64 `json:"weights"`
}

// Policies holds the policy of each class.
type Policies map[document.Class]Policy

// DefaultPolicies returns the built-in policies.
func DefaultPolicies() Policies {
	p, err := ParsePolicies(defaultPolicies)
	if err != nil {
		panic(err)
	}
	return p
}

// ParsePolicies parses policies from JSON with comments. It fails for an unknown
// filter, scorer or order, for candidates that are not positive, and for a class
// without a policy.
func ParsePolicies(text []byte) (Policies, error) {
	plain, err := hujson.Standardize(append([]byte(nil), text...))
	if err != nil {
		return nil, fmt.Errorf("pipeline: policies: %w", err)
	}
	var p Policies
	if err := json.Unmarshal(plain, &p); err != nil {
		return nil, fmt.Errorf("pipeline: policies: %w", err)
	}
	for _, class := range []document.Class{document.ClassService, document.ClassBatch, document.ClassGang} {
		policy, ok := p[class]
		if !ok {
			return nil, fmt.Errorf("pipeline: class %q has no policy", class)
		}
		if _, err := compile(policy); err != nil {
			return nil, fmt.Errorf("pipeline: class %q: %w", class, err)
		}
	}
	return p, nil
}

// weighted is a scorer with its weight.
type weighted struct {
	Scorer
	weight int64
}

// compiled is a policy with its filters and scorers resolved.
type compiled struct {
	Policy
	filters []Filter
	scorers []weighted
}

func compile(p Policy) (*compiled, error) {
	if p.Order != BestFit && p.Order != WorstFit {
		return nil, fmt.Errorf("unknown order %q", p.Order)
	}
	if p.Candidates <= 0 {
		return nil, fmt.Errorf("candidates must be positive")
	}
	c := &compiled{Policy: p}
	for _, name := range p.Filters {
		f, ok := filters[name]
		if !ok {
			return nil, fmt.Errorf("unknown filter %q", name)
		}
		c.filters = append(c.filters, f)
	}
	for _, name := range sortedNames(p.Weights) {
		s, ok := scorers[name]
		if !ok {
			return nil, fmt.Errorf("unknown scorer %q", name)
		}
		c.scorers = append(c.scorers, weighted{s, p.Weights[name]})
	}
	return c, nil
}

func sortedNames(m map[string]int64) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
