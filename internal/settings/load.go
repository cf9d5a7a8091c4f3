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

// Default returns the text of a valid settings file with comments, as a template.
func Default() []byte { return defaultText }

// Limits of a settings file.
const (
	maxBytes = 64 << 10
	maxDepth = 8
)

// defaultStopTimeout limits a graceful stop. It is longer than the longest usual
// request deadline, so that requests in flight can complete.
const defaultStopTimeout = 90 * time.Second

// defaultHeapGrowth is the default of Settings.HeapGrowthPercent.
const defaultHeapGrowth = 50

var typeDecoders = strictjson.Types{
	reflect.TypeFor[document.Duration](): strictjson.DecodeDuration,
}

// FileError lists all errors of one settings file.
type FileError struct {
	File   string
	Errors strictjson.Errors
}

// Error formats the errors, one per line, each with file, line and key.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, f := range e.Errors {
		lines[i] = fmt.Sprintf("%s:%d: %s: found %s, allowed: %s", e.File, f.Line, f.Field, f.Found, f.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file and the certificate files that it
// names. If the settings are invalid, the error is a *FileError that lists all
// errors found.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return parse(file, text, checkFiles)
}

// Parse decodes and validates the text of a settings file. Unlike Load, it does
// not read the files that the settings name.
func Parse(file string, text []byte) (Settings, error) {
	return parse(file, text, func(*Settings, reportFunc) {})
}

// parse decodes and validates text, and runs further as an additional check.
func parse(file string, text []byte, further func(*Settings, reportFunc)) (Settings, error) {
	s := defaults()
	d := strictjson.Decode(text, &s, strictjson.Limits{MaxBytes: maxBytes, MaxDepth: maxDepth}, typeDecoders)
	if d.Parsed() {
		checkFields(&s, d.Report)
		checkRegions(&s, d.Report)
		checkAddresses(&s, d.Report)
		checkTLS(&s, d.Report)
		checkLimits(&s, d.Report)
		further(&s, d.Report)
	}
	if list, ok := strictjson.AsErrors(d.Err()); ok {
		return Settings{}, &FileError{File: file, Errors: list}
	}
	return s, nil
}

// reportFunc records one validation error.
type reportFunc func(path, found, allowed string)

var fieldValidator = newValidator()

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

// allowedTexts describes the values that each validator tag allows.
var allowedTexts = map[string]string{
	"required": "a value",
	"ip_port":  "an IP number and a port, such as 10.0.0.7:7100",
	"http_url": "an http or https address",
	"oneof":    "one of",
	"min":      "at least",
	"max":      "at most",
}

// checkFields reports the fields that violate their validate tags.
func checkFields(s *Settings, report reportFunc) {
	var faults validator.ValidationErrors
	if !errors.As(fieldValidator.Struct(s), &faults) {
		return
	}
	for _, f := range faults {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		allowed := allowedTexts[f.Tag()]
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

// checkRegions reports duplicate regions and failure domains, and a location
// that is not among them.
func checkRegions(s *Settings, report reportFunc) {
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

// checkAddresses reports listen addresses that are used twice.
func checkAddresses(s *Settings, report reportFunc) {
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

// checkTLS rejects the use of one authority for daemons and operators, which
// would allow an operator's certificate to authenticate as a daemon.
func checkTLS(s *Settings, report reportFunc) {
	if s.TLS != nil && s.TLS.Authority != "" && s.TLS.Authority == s.TLS.OperatorAuthority {
		report("tls.operatorAuthority", s.TLS.OperatorAuthority, "another authority than the daemons' own")
	}
}

// checkFiles reports certificate files that cannot be used.
func checkFiles(s *Settings, report reportFunc) {
	if s.TLS == nil {
		return
	}
	var fault *certs.FileError
	_, err := certs.Open(s.TLS.Files(), s.Name, time.Now)
	if errors.As(err, &fault) {
		report("tls."+fault.Field, fault.File+": "+fault.Err.Error(), fault.Allowed)
	}
}
