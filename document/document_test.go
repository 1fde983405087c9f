package document

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const valid = `[service]
name = quote-desk

[zone "curepipe"]
state = in ; the main zone
drain = checkpoint

[zone "portlouis"]
drain = finish

[workspace "weddings"]
share = 40
guarantee = 2x4@rack, 1x8@worker
queue = 1000
rate = 200
reclaim = 10s
`

// TestParseReadsEveryKey guards against keys that are accepted but dropped, and against defaults that take part of a
// service away.
func TestParseReadsEveryKey(t *testing.T) {
	parsed, err := Parse("document.ini", []byte(valid+"token = "+HashToken("a")+", "+strings.ToUpper(HashToken("b")[7:])))
	require.ErrorContains(t, err, "document.ini:17: [workspace \"weddings\"] token: is no token hash")
	require.Len(t, parsed.Workspaces, 1)
	workspace := parsed.Workspaces[0]
	require.Equal(t, []Shape{{2, 4, ScopeRack}, {1, 8, ScopeWorker}}, workspace.Guarantees)
	require.True(t, workspace.Accepts("a"))
	require.False(t, workspace.Accepts("b"))
	require.False(t, workspace.Accepts(""))
	zone, ok := parsed.Zone("portlouis")
	require.True(t, ok)
	require.True(t, zone.In)
	require.Equal(t, DrainFinish, zone.Drain)
	_, ok = parsed.Zone("grandbaie")
	require.False(t, ok)
}

// TestParseReportsAllFindings guards against operators who learn of one fault per attempt, or at the wrong place.
func TestParseReportsAllFindings(t *testing.T) {
	text := `share = 1
[service]
nane = desk
[zone "curepipe"]
state = away
[workspace]
[workspace "a"]
guarantee = 2x4@rack, 3x0@rack, 9@rack, 1x2@host
shrae = 4
share = many
share = 4
rate
reclaim = 10
queue = """many
[workspace "a"]
[zones "x"]
[zone curepipe]
token = secret
[service "b"]
`
	_, err := Parse("d.ini", []byte(text))
	want := []string{
		`d.ini:1: share: stands before the first section`,
		`d.ini:3: [service] nane: unknown key; did you mean name?`,
		`d.ini:5: [zone "curepipe"] state: "away" is not in or out`,
		`d.ini:6: [workspace] needs a name: [workspace "name"]`,
		`d.ini:8: [workspace "a"] guarantee: "3x0@rack": accelerators must be a whole number between 1 and 64`,
		`d.ini:8: [workspace "a"] guarantee: "9@rack" is no shape; write members x accelerators @ scope, ` +
			`for example 2x4@rack`,
		`d.ini:8: [workspace "a"] guarantee: "1x2@host": scope "host" is not worker, rack or zone`,
		`d.ini:9: [workspace "a"] shrae: unknown key; did you mean share?`,
		`d.ini:10: [workspace "a"] share: "many" is no whole number`,
		`d.ini:11: [workspace "a"] share: the key is already at line 10`,
		`d.ini:12: [workspace "a"] "rate" has no value; write key = value`,
		`d.ini:13: [workspace "a"] reclaim: "10" is no duration; write for example 10s or 1m30s`,
		`d.ini:14: [workspace "a"] queue: values take one line, without "`,
		`d.ini:15: [workspace "a"] the section is already at line 7`,
		`d.ini:16: [zones "x"] unknown section; did you mean zone?`,
		`d.ini:17: [zone curepipe] is no section; write [kind] or [kind "name"]`,
		`d.ini:19: [service "b"] takes no name: [service]`,
	}
	var findings Findings
	require.ErrorAs(t, err, &findings)
	require.Equal(t, want, strings.Split(findings.Error(), "\n"))
	require.NotContains(t, err.Error(), "secret")
}

// TestParseSharedToken guards against a caller whose workspace depends on the order of sections.
func TestParseSharedToken(t *testing.T) {
	token := "token = " + HashToken("t")
	_, err := Parse("d.ini", []byte("[workspace \"a\"]\n"+token+"\n[workspace \"b\"]\n"+token))
	require.EqualError(t, err, `d.ini:3: [workspace "b"] token: workspace "a" has the same token`)
}

// TestSetZoneChangesOnlyTheState guards against a drain that rewrites an operator's comments or spacing.
func TestSetZoneChangesOnlyTheState(t *testing.T) {
	for _, test := range []struct {
		name string
		zone string
		in   bool
		want string
		err  string
	}{
		{
			name: "existing key with a comment",
			zone: "curepipe",
			want: strings.Replace(valid, "state = in ;", "state = out ;", 1),
		},
		{
			name: "absent key",
			zone: "portlouis",
			want: strings.Replace(valid, "[zone \"portlouis\"]\n", "[zone \"portlouis\"]\nstate = out\n", 1),
		},
		{
			name: "no change",
			zone: "curepipe",
			in:   true,
			want: valid,
		},
		{
			name: "unknown zone",
			zone: "suva",
			err:  `the document has no zone "suva"; it has curepipe, portlouis`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := SetZone(valid, test.zone, test.in)
			if test.err != "" {
				require.EqualError(t, err, test.err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want, got)
		})
	}
}

// TestCheck guards against guarantees that are accepted although they cannot be held at the same time, and against
// findings that leave the operator without a way out.
func TestCheck(t *testing.T) {
	workers := []Capacity{
		{Worker: "w1", Zone: "z1", Rack: "r1", Accelerators: 4},
		{Worker: "w2", Zone: "z1", Rack: "r1", Accelerators: 4},
		{Worker: "w3", Zone: "z1", Rack: "r2", Accelerators: 4},
		{Worker: "w4", Zone: "z2", Rack: "r1", Accelerators: 8},
	}
	for _, test := range []struct {
		name       string
		guarantees []string
		want       []string
	}{
		{
			name:       "fits only when the rack stays whole",
			guarantees: []string{"1x4@worker", "2x4@rack"},
		},
		{
			name:       "the larger shape can sit in two places and one blocks the smaller",
			guarantees: []string{"2x2@zone, 1x4@worker", "2x2@worker, 1x2@worker"},
			want: []string{
				`[workspace "b"] guarantee: 1x2@worker does not fit beside the other guarantees: the best worker (w1) has ` +
					`room for 0 of 1 member; add room for 1 more member of 2 accelerators there, or return zone z2 to service`,
			},
		},
		{
			name:       "alone too large",
			guarantees: []string{"3x4@rack"},
			want: []string{
				`[workspace "a"] guarantee: 3x4@rack does not fit: the best rack (z1/r1) has room for 2 of 3 members; add ` +
					`room for 1 more member of 4 accelerators there, or lower the guarantee to 2x4@rack, or widen it to 3x4@zone`,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := "[zone \"z1\"]\n[zone \"z2\"]\nstate = out\n"
			for i, guarantee := range test.guarantees {
				text += "[workspace \"" + string(rune('a'+i)) + "\"]\nguarantee = " + guarantee + "\n"
			}
			parsed, err := Parse("d.ini", []byte(text))
			require.NoError(t, err)
			err = Check(parsed, workers)
			if len(test.want) == 0 {
				require.NoError(t, err)
				return
			}
			var findings Findings
			require.ErrorAs(t, err, &findings)
			var got []string
			for _, finding := range findings {
				got = append(got, strings.SplitN(finding.String(), ": ", 2)[1])
			}
			require.Equal(t, test.want, got)
		})
	}
}
