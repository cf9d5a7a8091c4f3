package document

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/strictjson"
	"github.com/tailscale/hujson"
)

// Descriptions of the resource formats, used in error messages.
const (
	cpuFormat          = `cores as "2" or thousandths of a core as "500m"`
	memoryFormat       = `bytes with a unit B, KiB, MiB, GiB or TiB, such as "1GiB"`
	acceleratorsFormat = "a whole number of devices"
)

// memoryUnits are the units of memory, largest first.
var memoryUnits = []struct {
	name  string
	bytes int64
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1},
}

// ParseCPU parses an amount of CPU, such as "500m" or "2" cores.
func ParseCPU(s string) (millicores int64, ok bool) {
	if digits, thousandths := strings.CutSuffix(s, "m"); thousandths {
		return parseAmount(digits, 1)
	}
	return parseAmount(s, 1000)
}

// FormatCPU is the inverse of ParseCPU.
func FormatCPU(millicores int64) string {
	if millicores%1000 == 0 {
		return strconv.FormatInt(millicores/1000, 10)
	}
	return strconv.FormatInt(millicores, 10) + "m"
}

// ParseMemory parses an amount of memory with its unit, such as "1GiB".
func ParseMemory(s string) (bytes int64, ok bool) {
	for _, u := range memoryUnits {
		if digits, found := strings.CutSuffix(s, u.name); found {
			return parseAmount(digits, u.bytes)
		}
	}
	return 0, false
}

// FormatMemory is the inverse of ParseMemory.
func FormatMemory(bytes int64) string {
	for _, u := range memoryUnits {
		if bytes != 0 && bytes%u.bytes == 0 {
			return strconv.FormatInt(bytes/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

// maxAmount limits one amount so that sums over a whole cell cannot overflow
// int64.
const maxAmount = 1 << 50

func parseAmount(digits string, unit int64) (int64, bool) {
	n, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || int64(n) > maxAmount/unit {
		return 0, false
	}
	return int64(n) * unit, true
}

func decodeResources(d *strictjson.Decoder, path string, v hujson.Value, into reflect.Value) {
	var r cluster.Resources
	names := []string{"cpu", "memory", "accelerators"}
	d.Members(path, v, names, func(name, path string, member hujson.Value) {
		d.RecordLine(path, member)
		switch name {
		case "cpu":
			r.CPU = decodeAmount(d, path, member, ParseCPU, cpuFormat)
		case "memory":
			r.Memory = decodeAmount(d, path, member, ParseMemory, memoryFormat)
		case "accelerators":
			r.Accelerators = decodeCount(d, path, member)
		}
	})
	into.Set(reflect.ValueOf(r))
}

func decodeAmount(d *strictjson.Decoder, path string, v hujson.Value, parse func(string) (int64, bool), form string) int64 {
	s, isString := strictjson.StringOf(v)
	n, ok := parse(s)
	if !isString || !ok {
		d.AddError(path, v, form)
		return 0
	}
	return n
}

func decodeCount(d *strictjson.Decoder, path string, v hujson.Value) int64 {
	l, _ := v.Value.(hujson.Literal)
	n, err := strconv.ParseUint(string(l), 10, 31)
	if err != nil {
		d.AddError(path, v, acceleratorsFormat)
		return 0
	}
	return int64(n)
}
