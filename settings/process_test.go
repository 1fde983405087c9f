package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestParseRenderedTemplates verifies that the files that the platform renders from the templates are valid and that
// every value takes effect.
func TestParseRenderedTemplates(t *testing.T) {
	entry, err := ParseEntry("entry.ini", []byte(`[entry]
id = front-suva-1
zone = suva
listen = 10.1.0.19:7000
admin = 10.1.0.19:7001
caller = 10.1.0.19:8521
ready = 10.1.0.19:8523
store = 10.200.1.7:8524
advice =
seeds = 10.1.0.19:8526,10.2.0.35:8526
memory = 284
cores = 0.4
revoke = 5000ms
grace = 6s
stop = 200ms
keep = 120s
far = 3

[log]
level = debug
`))
	require.NoError(t, err)
	require.Equal(t, []string{"10.1.0.19:7000", "10.2.0.35:7000"}, entry.SeedAddresses,
		"seeds use the port of the peer protocol")
	require.InDelta(t, 0.4, entry.Cores, 0.001)
	require.Equal(t, 5*time.Second, entry.KeyRevocationDelay)
	require.Equal(t, 3, entry.RemoteSlowdownFactor)
	require.Empty(t, entry.AdviceAddress, "templates render an empty value for an unset setting")

	agent, err := ParseAgent("agent.ini", []byte(`[agent]
id = side-suva-1
zone = suva
listen = 10.1.0.20:7000
control = 10.1.0.20:8526
executor = 10.1.0.20:8529
seeds =
`))
	require.NoError(t, err)
	require.Empty(t, agent.SeedAddresses, "seeds are optional")
}

// TestParseReportsAllFaults verifies that one parse reports all faults of a settings file.
func TestParseReportsAllFaults(t *testing.T) {
	text := "[entry]\nid = a b\nzone = z\ncores = many\nseeds = nowhere\nfast = yes\n"
	_, err := ParseEntry("entry.ini", []byte(text))
	require.Error(t, err)
	for _, want := range []string{"a b", "many", "nowhere", "unknown key"} {
		require.ErrorContains(t, err, want)
	}
}
