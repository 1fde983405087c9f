package document

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishpath.example/radishpath/cell"
)

const validDocument = `[service]
name = quote-desk

[queue "quotes"]
host = desk.example
priority = 0
failures = 4
stretch = 1.5
slack = 250ms

[queue "open"]
host = desk.example
prefix = /public/
service = other-desk
anonymous = yes

[zone "curepipe"]
state = in ; the main zone

[zone "portlouis"]

[workspace "weddings"]
guarantee = 16
`

// TestParseReadsEveryKey verifies that every accepted key takes effect and that a zone without a state is in service.
func TestParseReadsEveryKey(t *testing.T) {
	text := validDocument + "token = " + cell.HashKey("a") + ", " + strings.ToUpper(cell.HashKey("b")[7:])
	parsed, err := Parse("document.ini", []byte(text))
	require.ErrorContains(t, err, "document.ini:24: [workspace \"weddings\"] token: is not a token hash")
	require.Len(t, parsed.Workspaces, 1)
	require.Equal(t, 16, parsed.Workspaces[0].Guarantee)
	zone, ok := parsed.Zone("portlouis")
	require.True(t, ok)
	require.True(t, zone.InService)
	_, ok = parsed.Zone("grandbaie")
	require.False(t, ok)

	operations := parsed.Operations(7)
	require.Equal(t, cell.Queue{
		Name:        "quotes",
		Host:        "desk.example",
		Prefix:      "/quotes/",
		Service:     "quote-desk",
		MaxFailures: 4,
		Stretch:     1.5,
		Slack:       250 * time.Millisecond,
	}, operations.Config.Queues[0])
	require.Equal(t, "other-desk", operations.Config.Queues[1].Service)
	require.True(t, operations.Config.Queues[1].Anonymous)
	require.Equal(t, defaultPriority, operations.Config.Queues[1].Priority)
	require.EqualValues(t, 7, operations.Config.Version)
	require.EqualValues(t, 16, operations.Config.Guaranteed("weddings"))
	workspace, ok := operations.Config.Workspace("a")
	require.True(t, ok)
	require.Equal(t, "weddings", workspace)
	for _, unknownToken := range []string{"", "b", cell.HashKey("a")} {
		_, ok = operations.Config.Workspace(unknownToken)
		require.False(t, ok, "token %q must not be accepted", unknownToken)
	}
}

// TestParseReportsAllFaults verifies that one parse reports every fault with its line, so that operators need not fix
// them one attempt at a time.
func TestParseReportsAllFaults(t *testing.T) {
	text := `share = 1
[service]
nane = desk
[zone "curepipe"]
state = away
[workspace]
[workspace "a"]
guarantee = many
guarante = 4
guarantee = 4
token
[queue "q"]
prefix = quotes
stretch = half
slack = 10
priority = """low
[workspace "a"]
[zones "x"]
[zone curepipe]
token = secret
[service "b"]
[queue "r"]
host = h
[queue "s"]
host = h
prefix = /r/
`
	_, err := Parse("d.ini", []byte(text))
	want := []string{
		`d.ini:1: share: key before the first section`,
		`d.ini:3: [service] nane: unknown key; did you mean name?`,
		`d.ini:5: [zone "curepipe"] state: "away" is not in or out`,
		`d.ini:6: [workspace] needs a name: [workspace "name"]`,
		`d.ini:8: [workspace "a"] guarantee: "many" is not a whole number`,
		`d.ini:9: [workspace "a"] guarante: unknown key; did you mean guarantee?`,
		`d.ini:10: [workspace "a"] guarantee: key already defined at line 8`,
		`d.ini:11: [workspace "a"] "token" has no value; write key = value`,
		`d.ini:12: [queue "q"] host: is required; set it to the host name that callers use`,
		`d.ini:13: [queue "q"] prefix: "quotes" must start and end with /`,
		`d.ini:14: [queue "q"] stretch: "half" is not a number of at least 1`,
		`d.ini:15: [queue "q"] slack: "10" is not a duration; write for example 10s or 1m30s`,
		`d.ini:16: [queue "q"] priority: multi-line values (") are not supported`,
		`d.ini:17: [workspace "a"] section already defined at line 7`,
		`d.ini:18: [zones "x"] unknown section; did you mean zone?`,
		`d.ini:19: [zone curepipe] is not a section header; write [kind] or [kind "name"]`,
		`d.ini:21: [service "b"] takes no name: [service]`,
		`d.ini:24: [queue "s"] prefix: queue "r" has the same host and prefix`,
	}
	var findings Findings
	require.ErrorAs(t, err, &findings)
	require.Equal(t, want, strings.Split(findings.Error(), "\n"))
	require.NotContains(t, err.Error(), "secret")
}

// TestParseSharedToken verifies that a token shared by two workspaces is rejected. Otherwise the workspace of a caller
// would depend on the order of sections.
func TestParseSharedToken(t *testing.T) {
	token := "token = " + cell.HashKey("t")
	_, err := Parse("d.ini", []byte("[workspace \"a\"]\n"+token+"\n[workspace \"b\"]\n"+token))
	require.EqualError(t, err, `d.ini:3: [workspace "b"] token: workspace "a" has the same token`)
}

// TestFormatRoundTrip verifies that formatted operations parse to the same operations, so that publishing the text of
// another tool's operations changes nothing, and that the text contains no plaintext keys.
func TestFormatRoundTrip(t *testing.T) {
	parsed, err := Parse("document.ini", []byte(validDocument))
	require.NoError(t, err)
	operations := parsed.Operations(3).WithZone("suva", true)
	operations.Config.Workspaces[0].APIKeys = []string{"raw-key"}
	text := Format(operations)
	require.NotContains(t, text, "raw-key")
	reparsed, err := Parse("formatted", []byte(text))
	require.NoError(t, err)
	operations.Config.Workspaces[0].APIKeys = []string{cell.HashKey("raw-key")}
	require.Equal(t, operations, reparsed.Operations(3))
}

// TestSetZoneChangesOnlyTheState verifies that a drain preserves an operator's comments and spacing.
func TestSetZoneChangesOnlyTheState(t *testing.T) {
	for _, test := range []struct {
		name      string
		text      string
		zone      string
		inService bool
		want      string
		err       string
	}{
		{
			name: "existing key with a comment",
			text: validDocument,
			zone: "curepipe",
			want: strings.Replace(validDocument, "state = in ;", "state = out ;", 1),
		},
		{
			name: "absent key",
			text: validDocument,
			zone: "portlouis",
			want: strings.Replace(validDocument, "[zone \"portlouis\"]\n", "[zone \"portlouis\"]\nstate = out\n", 1),
		},
		{
			name:      "no change",
			text:      validDocument,
			zone:      "curepipe",
			inService: true,
			want:      validDocument,
		},
		{
			name: "unknown zone",
			text: validDocument,
			zone: "suva",
			err:  `the document has no zone "suva"; it has curepipe, portlouis`,
		},
		{
			name: "no zone in the text",
			text: "[service]\nname = desk\n",
			zone: "suva",
			want: "[service]\nname = desk\n\n[zone \"suva\"]\nstate = out\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := SetZone(test.text, test.zone, test.inService)
			if test.err != "" {
				require.EqualError(t, err, test.err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want, got)
		})
	}
}

// TestDiff verifies that a diff contains every change and is empty for equal texts.
func TestDiff(t *testing.T) {
	require.Empty(t, Diff(validDocument, validDocument))
	diff := Diff(validDocument, strings.Replace(validDocument, "state = in", "state = out", 1))
	require.Contains(t, diff, "-state = in ; the main zone")
	require.Contains(t, diff, "+state = out ; the main zone")
}
