package host_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

// soundEntry is an entry that names a server at an address.
const soundEntry = `{"service":"pool","address":%q,"zone":"z","state":"ready","capacity":{"cpu":4000,"mem_mb":8000},"labels":["a","r1"],"born":%d}`

// oddEntries are entries of another writer, by ID, beside those of sound servers.
func oddEntries(sound string) map[string]string {
	entry := fmt.Sprintf(soundEntry, "127.0.0.1:1", 5)
	changed := func(old, with string) string { return strings.Replace(entry, old, with, 1) }
	return map[string]string{
		strings.Repeat("i", 255): entry,
		strings.Repeat("j", 254): entry,
		"":                       entry,
		"odd\ncontrol":           entry,
		"odd-binary\xff":         "\xff\x00\xfe",
		"odd-depth":              changed(`["a","r1"]`, strings.Repeat("[", 200_000)+strings.Repeat("]", 200_000)),
		"odd-number":             changed("4000", "99999999999999999999"),
		"odd-huge":               changed("4000", "9000000000000000000"),
		"odd-negative":           changed("4000", "-4000"),
		"odd-port":               changed("127.0.0.1:1", "127.0.0.1:99999"),
		"odd-port-sign":          changed("127.0.0.1:1", "127.0.0.1:-1"),
		"odd-labels":             changed(`"a"`, strings.Repeat(`"l",`, 20_000)+`"a"`),
		"odd-twin":               fmt.Sprintf(soundEntry, sound, time.Now().UnixMilli()+1000),
		"odd-closed":             entry,
	}
}

func (s *deployment) submitOne(address, submission string) {
	s.t.Helper()
	const one = `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":30}]}`
	if status, text := s.call("POST", address, "/q/"+submission, one); status != http.StatusOK {
		s.t.Fatalf("submission %s: %d %s", submission, status, text)
	}
	s.await("completed "+submission, func() bool { return s.state(address, submission) == "completed" })
}

// One entry that cannot be used must cost nothing: the record of a server with an ID of
// 255 bytes has a key that the log does not accept, and every submission of its partition
// waited behind that write for ever.
func TestHost_OddEntriesHarmNothing(t *testing.T) {
	s := newDeployment(t, 1)
	_, address := s.start()
	s.submitOne(address, "00000000000000a0")
	sound := s.servers[0].ID
	for id, entry := range oddEntries(s.addresses[sound]) {
		s.store.Put("keyed.servers", 0, id, []byte(entry))
	}
	for i := range 5 {
		s.submitOne(address, fmt.Sprintf("%016x", 0xb00+i))
	}
	for task, n := range s.servers[0].Starts() {
		if n != 1 {
			t.Errorf("task %s started %d times, want once", task, n)
		}
	}
}

// The same with seeded changes of a sound entry's bytes, and with an entry that turns odd
// and sound again while runs are there.
func TestHost_FuzzedEntriesHarmNothing(t *testing.T) {
	s := newDeployment(t, 1)
	_, address := s.start()
	server := s.servers[0]
	sound := fmt.Sprintf(soundEntry, s.addresses[server.ID], server.Born())
	rng := rand.New(rand.NewPCG(1, 1))
	for round := range 10 {
		for i := range 20 {
			entry := []byte(sound)
			for range 1 + rng.IntN(4) {
				entry[rng.IntN(len(entry))] = byte(rng.IntN(256))
			}
			s.store.Put("keyed.servers", 0, fmt.Sprintf("odd-%d", i), entry[:rng.IntN(len(entry)+1)])
		}
		s.store.Put("keyed.servers", 0, server.ID, []byte(strings.Replace(sound, "ready", "asleep", 1)))
		s.store.Put("keyed.servers", 0, server.ID, []byte(sound))
		s.submitOne(address, fmt.Sprintf("%016x", 0xc00+round))
	}
}

// Thousands of entries that name no server, some of them with the longest keys that a log
// may hold, come at once. A sound server must be used as before.
func TestHost_ThousandsOfOddEntriesHarmNothing(t *testing.T) {
	const odd = 3000
	s := newDeployment(t, 1)
	_, address := s.start()
	dead := fmt.Sprintf(soundEntry, "127.0.0.1:1", 5)
	for _, length := range []int{253, 254} {
		s.store.Put("keyed.servers", 0, strings.Repeat("k", length), []byte(dead))
	}
	for i := range odd {
		s.store.Put("keyed.servers", 0, fmt.Sprintf("odd-%d", i), []byte(strings.Replace(dead, "ready", "asleep", 1)))
	}
	began := time.Now()
	for i := range 5 {
		s.submitOne(address, fmt.Sprintf("%016x", 0xd00+i))
	}
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("five submissions of 30 ms took %s beside %d odd entries, want at most 8 s", took, odd)
	}
}

// The entry of a server cannot be read for longer than its tasks run. They must end there,
// and nothing of them may be started twice.
func TestHost_RunsGoOnWhileTheirServersEntryIsOdd(t *testing.T) {
	s := newDeployment(t, 1)
	server := s.servers[0]
	server.RunDuration = 3 * time.Second
	_, address := s.start()
	const submission = "00000000000000e1"
	if status, text := s.call("POST", address, "/q/"+submission, `{"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":100}]}`); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	s.await("running", func() bool { return s.state(address, submission) == "running" })
	s.store.Put("keyed.servers", 0, server.ID, []byte(`{"service":`))
	s.await("completed", func() bool { return s.state(address, submission) == "completed" })
	for task, n := range server.Starts() {
		if n != 1 {
			t.Errorf("task %s started %d times, want once", task, n)
		}
	}
}
