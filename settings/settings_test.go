package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const hash = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"

// TestParseEntryMinimal guards against a first start that fails for want of settings with an obvious value.
func TestParseEntryMinimal(t *testing.T) {
	entry, err := ParseEntry("entry.ini", []byte("[entry]\nzone = curepipe\n[operators]\nana = "+hash))
	require.NoError(t, err)
	require.Equal(t, EntrySettings{
		ID:         "entry",
		Listen:     "127.0.0.1:7000",
		Advertise:  "127.0.0.1:7000",
		Caller:     "127.0.0.1:7080",
		Admin:      "127.0.0.1:7090",
		Zone:       "curepipe",
		LogService: "http://127.0.0.1:7070",
		Linger:     2 * time.Second,
		Retention:  time.Hour,
		Log: LogSettings{
			Level:  "info",
			Format: "text",
		},
		Operators: []Operator{
			{
				Name: "ana",
				Hash: hash,
			},
		},
	}, entry)
}

// TestParseEntryPeers guards against an entry that counts itself among its peers when one list serves all entries.
func TestParseEntryPeers(t *testing.T) {
	entry, err := ParseEntry("entry.ini", []byte(`[entry]
id = e1
listen = 10.0.0.1:7000
zone = suva
peers = e1=10.0.0.1:7000, e2=10.0.0.2:7000
`))
	require.NoError(t, err)
	require.Equal(t, []Node{
		{
			ID:      "e2",
			Address: "10.0.0.2:7000",
		},
	}, entry.Peers)
	require.Len(t, entry.Warnings, 1)
}

// TestParseAgentMinimal guards against a first start that fails for want of settings with an obvious value.
func TestParseAgentMinimal(t *testing.T) {
	agent, err := ParseAgent("agent.ini", []byte("[agent]\nid = a1\nzone = suva\nworker = http://127.0.0.1:9000/\n"))
	require.NoError(t, err)
	require.Equal(t, []Node{
		{
			ID:      "entry",
			Address: "127.0.0.1:7000",
		},
	}, agent.Entries)
	require.Equal(t, "http://127.0.0.1:9000", agent.Worker)
	require.Empty(t, agent.Backend)
}

// TestParseReportsAllFindings guards against settings that fail one fault at a time, or only when the process runs.
func TestParseReportsAllFindings(t *testing.T) {
	parseEntry := func(text string) error {
		_, err := ParseEntry("f.ini", []byte(text))
		return err
	}
	parseAgent := func(text string) error {
		_, err := ParseAgent("f.ini", []byte(text))
		return err
	}
	for _, test := range []struct {
		name  string
		parse func(string) error
		text  string
		want  []string
	}{
		{
			name:  "entry",
			parse: parseEntry,
			text: `[entry]
listen = 0.0.0.0:7000
caller = here
admin = 127.0.0.1:7000000
log = 127.0.0.1:7070
peers = e2, e3=10.0.0.3:7000, e3=10.0.0.4:7000, e5=host:7000
linger = -1s
retention = 1s
workr = x
[log]
level = loud
[tls]
certificate = a.pem
[operators]
ana = secret
[agent]
`,
			want: []string{
				`f.ini:1: [entry] zone: is missing; it is the availability zone of this process`,
				`f.ini:1: [entry] id: is missing; an entry with peers needs an id of its own`,
				`f.ini:2: [entry] listen: "0.0.0.0:7000" is no address that other processes can dial; name this ` +
					`instance's IP address`,
				`f.ini:3: [entry] caller: "here" is no address; write IP:port, for example 127.0.0.1:7080`,
				`f.ini:4: [entry] admin: "7000000" is no port between 0 and 65535`,
				`f.ini:5: [entry] log: "127.0.0.1:7070" is no URL; write for example http://10.0.0.1:7070`,
				`f.ini:6: [entry] peers: "e2" is no id=address, for example entry-1=10.0.0.1:7000`,
				`f.ini:6: [entry] peers: e3 stands twice in the list`,
				`f.ini:6: [entry] peers: e5: "host:7000" is no IP:port`,
				`f.ini:7: [entry] linger: -1s is below the least value 0s`,
				`f.ini:8: [entry] retention: 1s is below the least value 10s`,
				"f.ini:9: [entry] workr: unknown key; known are id, listen, caller, admin, zone, log, peers, linger, " +
					"retention, advertise",
				`f.ini:11: [log] level: "loud" is not trace or debug or info or warn or error`,
				`f.ini:12: [tls] key: is missing; TLS needs certificate, key and authority`,
				`f.ini:12: [tls] authority: is missing; TLS needs certificate, key and authority`,
				`f.ini:15: [operators] ana: is no token hash; write sha256: and the hash of the token, never the token itself`,
				`f.ini:16: [agent] unknown section; known are entry, log, tls, operators`,
			},
		},
		{
			name:  "agent",
			parse: parseAgent,
			text:  "[agent]\nid = a b\nlisten = 10.0.0.1:7100\nadmin = 10.0.0.1:7100\ndistance = suva=near\nzone = z\n",
			want: []string{
				`f.ini:1: [agent] worker: is missing, and so is backend; an agent needs at least one of them`,
				`f.ini:2: [agent] id: "a b" is no id; use letters, digits, dots, dashes and underscores`,
				`f.ini:4: [agent] admin: 10.0.0.1:7100 is already the address of listen`,
				`f.ini:5: [agent] distance: "suva=near" is no zone=duration, for example curepipe=1.5ms`,
			},
		},
		{
			name:  "no section at all",
			parse: parseEntry,
			want:  []string{`f.ini: [entry] zone: is missing; it is the availability zone of this process`},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var findings Findings
			require.ErrorAs(t, test.parse(test.text), &findings)
			require.Equal(t, test.want, strings.Split(findings.Error(), "\n"))
		})
	}
}
