package cmd

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell/cellpb"
	"radishpath.example/radishpath/standin/storeserver"
)

// Guards against an odd record of an entry that ends top and every publish with an error, and against a publish that is
// reported as in effect although that entry hasn't confirmed it.
func TestOddMemberRecordIsListedWithoutAddress(t *testing.T) {
	member := func(id, address string) []byte {
		value, err := proto.Marshal(&cellpb.Record{
			Body: &cellpb.Record_Member{
				Member: &cellpb.Member{
					Id:      id,
					Address: address,
				},
			},
		})
		require.NoError(t, err)
		return value
	}
	clock := clockwork.NewRealClock()
	store := storeserver.New(clock)
	store.Append(cellTopic, "entry/a", member("a", "10.0.0.1:7000"))
	store.Append(cellTopic, "entry/b", member("b", "10.0.0.2:70000"))
	store.Append(cellTopic, "entry/c", []byte(strings.Repeat("[", 50_000)))
	store.Append(cellTopic, "job/x", []byte("no record"))
	server := httptest.NewServer(store.Endpoint())
	defer server.Close()
	stderr := &strings.Builder{}
	config := &Config{
		Clock:  clock,
		Stderr: stderr,
		store:  strings.TrimPrefix(server.URL, "http://"),
	}
	require.NoError(t, config.withStore(func(conn *storeConn) error {
		addresses, err := conn.entryAddresses(t.Context())
		require.NoError(t, err)
		require.Equal(t, map[string]string{"a": "10.0.0.1:7000", "entry/b": "", "entry/c": ""}, addresses)
		state, _, err := conn.cellState(t.Context())
		require.NoError(t, err)
		require.Len(t, state.Members(), 1)
		_, err = conn.nextOperationsOffset(t.Context(), "")
		require.Error(t, err, "nobody confirms for it")
		return nil
	}))
	require.Contains(t, stderr.String(), "key=entry/b offset=1")
}
