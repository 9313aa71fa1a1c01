package ctl

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: an operator wants to switch off a failure domain. Guards against one that looks empty while a
// gateway still has requests there, and against an earlier evacuation that is taken for the present one.
func TestEvacuations(t *testing.T) {
	b := newHarness(t)
	line := func(second, message, fields string) string {
		return `{"ts":"2026-01-02T07:00:` + second + `.000Z","msg":"gateway: ` + message + `","failure_domain":"x",` + fields + "}\n"
	}
	const empty = "evacuations: Nothing of this process runs in an evacuated failure domain."
	first := b.file("vm-1.log", line("01", "view: A failure domain is evacuated.", `"offset":7,"servers":4`)+line("02", empty, `"requests":0,"streams":0`)+
		line("09", "view: The evacuation of a failure domain is over.", `"offset":9`)+
		line("20", "view: A failure domain is evacuated.", `"offset":11,"servers":4`)+line("21", empty, `"requests":0,"streams":0`))
	second := b.file("vm-2.log", line("21", "view: A failure domain is evacuated.", `"offset":11,"servers":4`)+
		line("22", "evacuations: This process still runs something in an evacuated failure domain.", `"requests":2,"streams":31`))
	code, out, errs := b.run("evacuations", first, second)
	require.Zero(t, code, errs)
	require.Regexp(t, `x +07:00:01.000 +07:00:01.000 +1 +4 +0 +07:00:02.000 +07:00:09.000`, out)
	require.Regexp(t, `x +07:00:20.000 +07:00:21.000 +2 +4 +1 +– +–`, out)
	require.Regexp(t, `x +vm-2 +07:00:22.000 +2 +31 +false`, out)
	over := b.file("vm-4.log", line("30", "view: The evacuation of a failure domain is over.", `"offset":12`))
	_, out, _ = b.run("evacuations", first, second, over)
	require.Regexp(t, `x +07:00:20.000 +07:00:21.000 +2 +4 +0 +– +07:00:30.000`, out, "taken back before it was empty")
	require.NotContains(t, out, "vm-2")
	third := b.file("vm-3.log", line("23", "evacuations: Something of this process runs in an evacuated failure domain again.", `"requests":1,"streams":0`))
	code, out, errs = b.run("evacuations", "--json", first, third)
	require.Zero(t, code, errs)
	require.Contains(t, out, `"again":true`)
}
