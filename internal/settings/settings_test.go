package settings_test

import (
	"strings"
	"testing"

	"github.com/currantwinch/currantwinch/internal/settings"
)

func TestDefault_IsValid(t *testing.T) {
	if _, err := settings.Parse("default", settings.Default()); err != nil {
		t.Fatal(err)
	}
}

func TestParse_InvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", `"name":`, `"nam": 1, "name":`, `f:3: nam: found "nam", allowed: one of the fields`},
		{"wrong type", `"entry-1"`, `7`, `f:3: name: found 7, allowed: a string`},
		{"missing unit", `"90s"`, `"90"`, `f:31: stopTimeout: found "90", allowed: a duration with its unit`},
		{"too long", `"90s"`, `"900s"`, `allowed: at most 10m0s`},
		{"duplicate address", `7200`, `7100`, `listen.operators: found 127.0.0.1:7100, allowed: an address of its own`},
		{"no port", `127.0.0.1:7100`, `127.0.0.1`, `f:16: listen.callers: found "127.0.0.1", allowed: an IP number and a port`},
		{"host name", `127.0.0.1:7100`, `localhost:7100`, `allowed: an IP number and a port`},
		{"domain of another region", `"failureDomain": "north-a"`, `"failureDomain": "south-a"`, `f:6: location.failureDomain: found south-a, allowed: one of north-a`},
		{"region not in the cell", `"region": "north"`, `"region": "west"`, `location.region: found west`},
		{"domain twice", `["south-a"]`, `["north-a"]`, `regions[1].failureDomains[0]: found north-a, allowed: each failure domain once`},
		{"unknown level", `"level": "info"`, `"level": "loud"`, `allowed: one of debug info warn error`},
		{"no such scheme", `http://127.0.0.1:7001`, `ftp://127.0.0.1:7001`, `platform.log`},
		{"missing value", `"system/entry-1:secret"`, `""`, `credential: found "", allowed: a value`},
		{"unknown key of TLS", `// "tls": {`, `"tls": {"cert": "a"}, // {`, `tls.cert: found "cert", allowed: one of the fields`},
		{"half of TLS", `// "tls": {`, `"tls": {"certificate": "a", "key": "b", "authority": "c"}, // {`, `tls.operatorAuthority: found "", allowed: a value`},
		{"one authority", `// "tls": {`, `"tls": {"certificate": "a", "key": "b", "authority": "c", "operatorAuthority": "c"}, // {`, `f:39: tls.operatorAuthority: found c, allowed: another authority`},
		{"heap that may not grow", `"heapGrowthPercent": 50`, `"heapGrowthPercent": 0`, `heapGrowthPercent: found "0", allowed: at least 20`},
		{"limit too low", `"descriptors": 0`, `"bodyBytes": 5`, `f:49: limits.bodyBytes: found 5, allowed: at least 4194304, or 0 for the default`},
		{"limit of time too low", `"descriptors": 0`, `"stallTimeout": "1ms"`, `limits.stallTimeout: found 1, allowed: at least 100`},
		{"not JSON", `"listen": {`, `"listen": [{`, `JSON with comments`},
	}
	for _, c := range cases {
		text := strings.Replace(string(settings.Default()), c.old, c.new, 1)
		_, err := settings.Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func TestParse_ReportsAllErrors(t *testing.T) {
	text := strings.NewReplacer(`7200`, `7100`, `"loud"`, `"x"`, `"90s"`, `"90"`, `"region": "north"`, `"region": "west"`).Replace(string(settings.Default()))
	_, err := settings.Parse("f", []byte(text))
	if err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("got %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(settings.Default())
	f.Add([]byte(`{"listen": {"callers": 7}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, _ = settings.Parse("f", text)
	})
}
