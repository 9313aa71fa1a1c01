package manifest

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func readExample(t testing.TB, name string) []byte {
	data, err := os.ReadFile(filepath.Join("..", "examples", "manifests", name))
	require.NoError(t, err)
	return data
}

func TestExamplesParse(t *testing.T) {
	paths, err := filepath.Glob("../examples/manifests/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		m, err := Parse(path, readExample(t, filepath.Base(path)))
		require.NoError(t, err)
		require.NotEmpty(t, m.Trainers, path)
	}
}

func TestDefaults(t *testing.T) {
	m, err := Parse("demo.ini", readExample(t, "demo.ini"))
	require.NoError(t, err)
	require.Equal(t, Model{"demo-lm", 8 * time.Second, 4096}, m.Models["demo-lm"])
	require.Equal(t, 15*time.Minute, m.Fleet.KeyWindow)
	require.Equal(t, 1, m.Callers["demo-app"].Burst)

	stale := strings.Replace(string(readExample(t, "demo.ini")), "weigh = idle", "weigh = staleness", 1)
	m, err = Parse("demo.ini", []byte(stale))
	require.NoError(t, err)
	require.Equal(t, time.Second, m.Models["demo-lm"].SwapGrace)
}

func TestTokens(t *testing.T) {
	m, err := Parse("demo.ini", readExample(t, "demo.ini"))
	require.NoError(t, err)
	literal := &Manifest{Callers: m.Callers, Trainers: m.Trainers}
	for _, m := range []*Manifest{m, literal} {
		c, ok := m.CallerByToken("demo-caller-token")
		require.True(t, ok)
		require.Equal(t, "demo-app", c.Name)
		tr, ok := m.TrainerByToken("demo-trainer-token")
		require.True(t, ok)
		require.Equal(t, "demo-trainer", tr.Name)
		for _, wrong := range []string{"", "demo-trainer-token", "x"} {
			_, ok = m.CallerByToken(wrong)
			require.False(t, ok, wrong)
		}
	}
}

// A caller's token is rotated: for a while the manifest holds two sums, and
// both tokens are let in as the same caller; then the old one is shut out.
func TestTokenRotation(t *testing.T) {
	const old, fresh = "demo-caller-token", "new-token"
	sum := func(token string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(token))) }
	text := string(readExample(t, "demo.ini"))
	require.Contains(t, text, sum(old))
	for list, want := range map[string][2]bool{
		sum(old):                     {true, false},
		sum(old) + ", " + sum(fresh): {true, true},
		sum("x") + "," + sum(fresh) + "," + sum("y"): {false, true},
	} {
		m, err := Parse("demo.ini", []byte(strings.Replace(text, sum(old), list, 1)))
		require.NoError(t, err)
		for i, token := range []string{old, fresh} {
			c, ok := m.CallerByToken(token)
			require.Equal(t, want[i], ok, list)
			require.Equal(t, want[i], c.Name == "demo-app")
			require.False(t, m.IsOperatorToken(token))
		}
	}
	m, err := Parse("demo.ini", []byte(strings.Replace(text, "[fleet]\n", "[fleet]\noperator_sha256 = "+sum("a")+", "+sum("b")+"\n", 1)))
	require.NoError(t, err)
	require.True(t, m.IsOperatorToken("a") && m.IsOperatorToken("b"))
	require.False(t, m.IsOperatorToken("") || m.IsOperatorToken("c") || m.IsOperatorToken(old))
}

// A caller writes to a path which only looks like a read's. Were the route of
// the read to match, the write could be repeated after a lost answer.
func TestMatch(t *testing.T) {
	s := Service{Routes: []Route{
		{Name: "read", Methods: []string{"GET"}, Prefix: "/"},
		{Name: "status", Prefix: "/status"},
		{Name: "files", Prefix: "/files/"},
		{Name: "write", Methods: []string{"POST"}, Prefix: "/orders"},
	}}
	for request, want := range map[string]string{
		"GET /orders/7":              "read",
		"POST /orders":               "write",
		"POST /orders/?a=../status":  "write",
		"POST /orders/a%2Fb":         "write",
		"POST /status/x":             "status",
		"POST /statusx":              "",
		"POST /files/a":              "files",
		"POST /files":                "",
		"DELETE /orders":             "",
		"POST /status/../orders":     "",
		"POST /status/%2e%2e/orders": "",
		"POST /status/..;a/orders":   "",
		"POST /status/%2F../orders":  "",
		"POST /status//orders":       "",
		`POST /status\..\orders`:     "",
		"POST /status/%zz":           "",
		"POST orders":                "",
	} {
		method, path, _ := strings.Cut(request, " ")
		r, ok := s.Match(method, path)
		require.Equal(t, want, r.Name, request)
		require.Equal(t, want != "", ok, request)
	}
}

func TestProblems(t *testing.T) {
	const head = "[fleet]\nname = f\n"
	model := head + "[model m]\n"
	trainer := model + "[trainer t]\ntoken_sha256 = " + hashA + "\nmodel = m\nstaleness_bound = 1\n"
	service := head + "[service s]\n[route s.r]\n"
	caller := service + "[caller c]\ntoken_sha256 = " + hashA + "\nallow = s\n"
	for text, want := range map[string]string{
		"":                                               `m.ini: [fleet] the section is missing`,
		"a = 1":                                          `m.ini:1: a key stands before the first section`,
		"[fleet]":                                        `m.ini:1: [fleet] name: is missing and has no default`,
		"[fleet]\nname = a b":                            `m.ini:2: [fleet] name: "a b": a name has`,
		head + "key_windw = 1m":                          `m.ini:3: [fleet] key_windw: is not a key of this section (did you mean "key_window"?)`,
		head + "weigh = idel":                            `m.ini:3: [fleet] weigh: "idel" is not one of idle, staleness (did you mean "idle"?)`,
		head + "weigh =":                                 `m.ini:3: [fleet] weigh: has no value`,
		head + "weigh = idle\nweigh = 1":                 `m.ini:3: [fleet] weigh: stands twice; again on line 4`,
		head + "name":                                    `m.ini:3: [fleet] "name" is not KEY = VALUE`,
		head + "x = `a":                                  `m.ini:3: [fleet] x: values of several lines are not allowed`,
		head + "[fleet]":                                 `m.ini:3: [fleet] the section stands already on line 1`,
		head + "[modle a]":                               `m.ini:3: [modle a] there is no such kind of section (did you mean "model"?)`,
		head + "[model a b]":                             `m.ini:3: [model a b] the title is [model NAME]`,
		head + "[model a":                                `m.ini:3: [model a] a section's line must be [TITLE]`,
		head + "[leaving x]":                             `m.ini:3: [leaving x] the title is just [leaving]`,
		head + "[route s]":                               `m.ini:3: [route s] the title is [route SERVICE.NAME]`,
		head + "[route s.r]":                             `m.ini:3: [route s.r] there is no [service s]`,
		head + "[service s]":                             `m.ini:3: [service s] the service has no [route s.NAME]`,
		head + "log_retention = 30m":                     `m.ini:1: [fleet] key_window: 15m0s is not less than half of log_retention (30m0s)`,
		head + "clock_skew = 8m":                         `clock_skew: 8m is outside 0s to 1m0s`,
		head + "key_window = 1s":                         `clock_skew: 500ms is not less than half of key_window (1s)`,
		head + "appends_per_s = NaN":                     `appends_per_s: NaN is outside 1 to 1e+06`,
		head + "max_body_bytes = 2GiB":                   `max_body_bytes: 2GiB is outside 1024 to 1073741824 bytes`,
		head + "max_body_bytes = 2MB":                    `max_body_bytes: "2MB" is not a size`,
		head + "[leaving]\nservers = a,":                 `servers: "" is not a valid item`,
		model + "max_tokens = 0":                         `max_tokens: 0 is outside 1 to 1048576`,
		model + "swap_grace = 5":                         `swap_grace: "5" is not a duration`,
		model + "[service m]\n[route m.r]\n":             `[model m] a service has the same name`,
		service + "methods = get":                        `methods: "get" is not a valid item`,
		service + "prefix = /a/../b":                     `prefix: "/a/../b" is not a plain path`,
		service + "repeat = always\nrequire_key = true":  `require_key: needs repeat = never`,
		service + "[route s.w]\nprefix = /w":             `[route s.w] is never reached: route r before it`,
		trainer + "hedge_percent = 101":                  `hedge_percent: 101 is outside 0 to 100`,
		trainer + "scorer_path = /x":                     `scorer_path: needs a scorer`,
		trainer + "scorer = x":                           `scorer: there is no [service x]`,
		trainer + "scorer = s\n[service s]\n[route s.r]": `scorer_path: POST /score must match a route of service s with repeat = always`,
		trainer + "[trainer u]\ntoken_sha256 = " + hashA + "\nmodel = m\nstaleness_bound = 1":                                          `[trainer u] token_sha256: is also that of [trainer t]`,
		trainer + "[trainer u]\ntoken_sha256 = " + hashB + "\nmodel = n\nstaleness_bound = 1":                                          `model: there is no [model n] (did you mean "m"?)`,
		trainer + "[caller t]\ntoken_sha256 = " + hashB + "\nallow = m":                                                                `[caller t] a trainer has the same name`,
		trainer + "[caller c]\ntoken_sha256 = " + hashB + ", " + hashA + "\nallow = m":                                                 `[caller c] token_sha256: is also that of [trainer t]`,
		head + "operator_sha256 = " + hashA + "\n[model m]\n[trainer t]\ntoken_sha256 = " + hashA + "\nmodel = m\nstaleness_bound = 1": `[trainer t] token_sha256: is also that of [fleet]`,
		head + "operator_sha256 = " + hashA + "," + hashA:                                                                              `operator_sha256: holds a sha256 twice`,
		head + "operator_sha256 = " + hashA + ",":                                                                                      `operator_sha256: is not a sha256`,
		head + "operator_sha256 = " + fourHashes():                                                                                     `operator_sha256: holds 4 sha256, more than 3`,
		model + "[trainer t]\ntoken_sha256 = AB\nmodel = m\nstaleness_bound = 1":                                                       `token_sha256: is not a sha256`,
		model + "[trainer t]\ntoken_sha256 = " + hashA + "\nmodel = m":                                                                 `staleness_bound: is missing and has no default`,
		strings.Replace(caller, "allow = s", "allow = S, s, s", 1):                                                                     `allow: "s" stands twice`,
		strings.Replace(caller, "allow = s", "allow = sx", 1):                                                                          `allow: there is no model or service "sx" (did you mean "s"?)`,
		strings.Replace(caller, "allow = s", "", 1):                                                                                    `allow: is missing and has no default`,
		head + manyKeys(): `[fleet] k63: the section has more than 64 keys`,
		"\xff":            `m.ini: is not UTF-8 text`,
	} {
		_, err := Parse("m.ini", []byte(text))
		require.ErrorContains(t, err, want, text)
	}
}

func fourHashes() string {
	return fmt.Sprintf("%064x,%064x,%064x,%064x", 1, 2, 3, 4)
}

func manyKeys() string {
	var b strings.Builder
	for i := range 70 {
		fmt.Fprintf(&b, "k%d = 1\n", i)
	}
	return b.String()
}

func TestEveryProblemIsReportedInFileOrder(t *testing.T) {
	_, err := Parse("m.ini", []byte("[fleet]\nname = f\nx = 1\nweigh = a\n[model m]\nmax_tokens = b\nswap_grace = c\n"))
	var problems Problems
	require.ErrorAs(t, err, &problems)
	keys := []string{}
	for _, p := range problems {
		keys = append(keys, p.Key)
	}
	require.Equal(t, []string{"x", "weigh", "max_tokens", "swap_grace"}, keys)
}

func TestSignature(t *testing.T) {
	pub, priv, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	keys, err := ParseKeys([]string{FormatPublicKey("k1", pub)})
	require.NoError(t, err)
	id, again, err := ParsePrivateKey(FormatPrivateKey("k1", priv) + "\n")
	require.NoError(t, err)
	require.Equal(t, "k1", id)
	require.NoError(t, keys.Verify(Sign(again, id, 2, 1, []byte("x"))))

	rev := Sign(priv, "k1", 2, 1, []byte("x"))
	rev.Number = 3
	require.ErrorContains(t, keys.Verify(rev), "bad signature")
	rev = Sign(priv, "k1", 2, 1, []byte("x"))
	rev.Parent = 0
	require.ErrorContains(t, keys.Verify(rev), "bad signature")
	rev = Sign(priv, "k1", 2, 1, []byte("x"))
	rev.Manifest = []byte("y")
	require.ErrorContains(t, keys.Verify(rev), "hash")
	rev.Hash = Hash(rev.Manifest)
	require.ErrorContains(t, keys.Verify(rev), "bad signature")
	require.ErrorContains(t, keys.Verify(Sign(priv, "k2", 2, 1, nil)), "unknown key id")
	require.Error(t, keys.Verify(nil))
	for _, bad := range []string{"", "k1", "k1:!", "k1:AAAA", ":AAAA"} {
		_, err = ParseKeys([]string{bad})
		require.Error(t, err, bad)
		_, _, err = ParsePrivateKey(bad)
		require.Error(t, err, bad)
	}
}

// write writes a manifest with every value in force.
func write(m *Manifest) []byte {
	var b strings.Builder
	section := ""
	for _, s := range m.Settings() {
		if s.Section != section {
			section = s.Section
			b.WriteString("[" + section + "]\n")
		}
		if s.Value != "" && (s.Key != "scorer_path" || m.Trainers[strings.TrimPrefix(section, "trainer ")].Scorer != "") {
			b.WriteString(s.Key + " = " + s.Value + "\n")
		}
	}
	return []byte(b.String())
}

// Whatever Parse accepts is safe to serve by, and nothing makes it panic.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "demo.ini"))
	f.Add([]byte("[fleet]\nname = f\n[model m]\nmax_tokens = 1 # x\n"))
	f.Add([]byte("[fleet]\nname=\"f\"\n[service s]\n[route s.r]\nmethods=GET\nprefix=/a\n\n[leaving]\nservers=a.b\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse("m.ini", data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.Less(t, 2*m.Fleet.KeyWindow, m.Fleet.LogRetention)
		again, err := Parse("again.ini", write(m))
		require.NoError(t, err)
		require.Equal(t, m.Settings(), again.Settings())
		for _, tr := range m.Trainers {
			require.Contains(t, m.Models, tr.Model)
			hashes := strings.Split(tr.TokenSHA256, ",")
			require.LessOrEqual(t, len(hashes), 3)
			for _, hash := range hashes {
				require.Len(t, hash, 64)
			}
		}
		for _, s := range m.Services {
			require.NotEmpty(t, s.Routes)
			for _, r := range s.Routes {
				require.True(t, strings.HasPrefix(r.Prefix, "/"))
			}
		}
	})
}
