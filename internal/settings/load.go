package settings

import (
	_ "embed"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/strictjson"
	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

//go:embed default.jsonc
var defaultText []byte

// Default returns commented settings to start from.
func Default() []byte { return defaultText }

// Limits of a settings file.
const (
	maxBytes = 64 << 10
	maxDepth = 8
)

// defaultStopTimeout is longer than the longest usual request deadline.
const defaultStopTimeout = 90 * time.Second

// defaultHeapGrowth is in percent of the live heap.
const defaultHeapGrowth = 50

var types = strictjson.Types{
	reflect.TypeFor[document.Duration](): strictjson.DecodeDuration,
}

// FileError is everything that is wrong with one settings file.
type FileError struct {
	File   string
	Errors strictjson.Errors
}

// Error names file, line and key of each fault, one a line.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, f := range e.Errors {
		lines[i] = fmt.Sprintf("%s:%d: %s: found %s, allowed: %s", e.File, f.Line, f.Field, f.Found, f.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. A fault in it is a FileError that
// lists all that is wrong at once.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return parse(file, text, checkFiles)
}

// Parse checks the text of a settings file, and not the files that it names.
func Parse(file string, text []byte) (Settings, error) {
	return parse(file, text, func(*Settings, reporter) {})
}

// parse runs one more check beside those of the text.
func parse(file string, text []byte, further func(*Settings, reporter)) (Settings, error) {
	s := defaults()
	d := strictjson.Decode(text, &s, strictjson.Limits{MaxBytes: maxBytes, MaxDepth: maxDepth}, types)
	if d.Parsed() {
		checkFields(&s, d.Report)
		checkRegions(&s, d.Report)
		checkAddresses(&s, d.Report)
		checkTLS(&s, d.Report)
		further(&s, d.Report)
	}
	if list, ok := strictjson.AsErrors(d.Err()); ok {
		return Settings{}, &FileError{File: file, Errors: list}
	}
	return s, nil
}

// reporter takes one fault.
type reporter func(path, found, allowed string)

var fieldChecks = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		panic(err)
	}
	return v
}

func isIPPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

// allowedBy says in words what a check allows.
var allowedBy = map[string]string{
	"required": "a value",
	"ip_port":  "an IP number and a port, such as 10.0.0.7:7100",
	"http_url": "an http or https address",
	"oneof":    "one of",
	"min":      "at least",
	"max":      "at most",
}

// checkFields reports what the fields' own tags forbid.
func checkFields(s *Settings, report reporter) {
	var faults validator.ValidationErrors
	if !errors.As(fieldChecks.Struct(s), &faults) {
		return
	}
	for _, f := range faults {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		allowed := allowedBy[f.Tag()]
		if p := limitText(f); p != "" {
			allowed += " " + p
		}
		report(path, fmt.Sprintf("%q", fmt.Sprint(f.Value())), allowed)
	}
}

func limitText(f validator.FieldError) string {
	if f.Type() != reflect.TypeFor[document.Duration]() {
		return f.Param()
	}
	d, err := time.ParseDuration(f.Param() + "ns")
	if err != nil {
		return f.Param()
	}
	return d.String()
}

// checkRegions reports regions and failure domains that are named twice, and
// a location that no region has.
func checkRegions(s *Settings, report reporter) {
	regions := make(map[string][]string)
	domains := make(map[string]string)
	for i, r := range s.Regions {
		if _, ok := regions[r.Name]; ok {
			report(fmt.Sprintf("regions[%d].name", i), r.Name, "each region once")
		}
		regions[r.Name] = r.FailureDomains
		for k, fd := range r.FailureDomains {
			if other, ok := domains[fd]; ok {
				report(fmt.Sprintf("regions[%d].failureDomains[%d]", i, k), fd, "each failure domain once, it is also in "+other)
			}
			domains[fd] = r.Name
		}
	}
	allowed, ok := regions[s.Location.Region]
	if !ok {
		report("location.region", s.Location.Region, "a region of this cell")
		return
	}
	if domains[s.Location.FailureDomain] != s.Location.Region {
		report("location.failureDomain", s.Location.FailureDomain, "one of "+strings.Join(allowed, ", "))
	}
}

// checkAddresses reports an address that is used twice.
func checkAddresses(s *Settings, report reporter) {
	seen := make(map[string]string)
	for _, a := range []struct{ path, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
	} {
		if other, ok := seen[a.address]; ok && a.address != "" {
			report(a.path, a.address, "an address of its own, "+other+" has this one")
		}
		seen[a.address] = a.path
	}
}

// checkTLS reports one authority for daemons and operators, which would let
// an operator's certificate speak as a daemon.
func checkTLS(s *Settings, report reporter) {
	if s.TLS != nil && s.TLS.Authority != "" && s.TLS.Authority == s.TLS.OperatorAuthority {
		report("tls.operatorAuthority", s.TLS.OperatorAuthority, "another authority than the daemons' own")
	}
}

// checkFiles reports files that TLS cannot use.
func checkFiles(s *Settings, report reporter) {
	if s.TLS == nil {
		return
	}
	var fault *certs.FileError
	_, err := certs.Open(s.TLS.Files(), s.Name, time.Now)
	if errors.As(err, &fault) {
		report("tls."+fault.Field, fault.File+": "+fault.Err.Error(), fault.Allowed)
	}
}
