package cluster

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/cell/cellpb"
)

// LeaveOddRecords appends records that no process of a cell writes to every topic, as another writer might.
func (c *Cluster) LeaveOddRecords() error {
	nested := []byte(strings.Repeat("[", 200_000))
	for _, record := range []struct {
		topic string
		key   string
		value []byte
		// message is encoded as the value if it isn't nil.
		message *cellpb.Record
	}{
		{topic: "keyed.cell", key: "scheduler", message: oddClaim()},
		{topic: "keyed.cell", key: "other", message: oddClaim()},
		{topic: "keyed.cell", key: "entry/other", message: oddMember()},
		{topic: "keyed.cell", key: "entry/\xff\xfe", message: oddMember()},
		{topic: "keyed.cell", key: "progress/00000000000000ff", message: oddProgress()},
		{topic: "keyed.cell", key: "job/00000000000000fe", value: nested},
		{topic: "keyed.cell", key: "job/00000000000000fd", value: bytes.Repeat([]byte{0xff}, 300_000)},
		{topic: "keyed.cell", key: "", value: nested},
		{topic: "keyed.cell", key: strings.Repeat("k", 255), value: []byte("x")},
		{topic: "keyed.op", key: "config", value: nested},
		{topic: "keyed.op", key: "config", value: []byte(`{"version":9223372036854775807,"routes":[]}`)},
		{topic: "keyed.op", key: "config", value: []byte(`{"version":1e999}`)},
		{topic: "keyed.op", key: "evacuate/\xff", value: nested},
		{topic: "keyed.op", key: "wave/1", value: nested},
		{topic: "keyed.op", key: "", value: []byte("x")},
		{topic: "keyed.document", key: "text/9", value: nested},
	} {
		if record.message != nil {
			value, err := proto.Marshal(record.message)
			if err != nil {
				return fmt.Errorf("encode odd record: %w", err)
			}
			record.value = value
		}
		c.Store.Append(record.topic, record.key, record.value)
	}
	return nil
}

// OddHeartbeats returns bodies of heartbeats that no executor sends.
func OddHeartbeats() []string {
	var bodies []string
	for _, field := range []string{
		`"address":"10.0.0.9:70000"`, `"born":1e300`, `"born":1e999`, `"clockMs":1e300`, `"seq":18446744073709551616`,
		`"state":"idle"`, `"labels":` + strings.Repeat("[", 50_000),
	} {
		bodies = append(bodies, `{"service":"`+serviceName+
			`","zone":"z","state":"ready","capacity":{"cpu":1,"memMb":1,"gpu":1},`+field+`}`)
	}
	return bodies
}

// ForeignHeartbeat is a well-formed heartbeat of another writer.
type ForeignHeartbeat struct {
	ExecutorID string
	Body       string
}

// ForeignHeartbeats returns heartbeats that the executor with an index doesn't send, although nothing in them is
// invalid. born is later than the start of the executor.
func ForeignHeartbeats(index int, born time.Time) []ForeignHeartbeat {
	ownID := fmt.Sprintf("i-%d", index)
	var heartbeats []ForeignHeartbeat
	for _, h := range []struct {
		id      string
		service string
		state   string
		seq     int64
	}{
		{id: "i-other", service: "tents", state: "ready", seq: 1},
		{id: "i-another", service: serviceName, state: "ready", seq: 1},
		{id: "i-third", service: serviceName, state: "draining", seq: 1},
		{id: ownID, service: serviceName, state: "ready", seq: 1},
		{id: ownID, service: "tents", state: "draining", seq: 1 << 40},
	} {
		heartbeats = append(heartbeats, ForeignHeartbeat{
			ExecutorID: h.id,
			Body: fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":%q,`+
				`"coldLeftMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a"],"clockMs":482,"born":%d,"seq":%d}`,
				h.service, h.state, born.UnixMilli(), h.seq),
		})
	}
	return heartbeats
}

func oddClaim() *cellpb.Record {
	return &cellpb.Record{
		Body: &cellpb.Record_Claim{
			Claim: &cellpb.Claim{
				Epoch:   1<<62 + 1,
				Holder:  "other",
				Address: "10.0.0.9:70000",
			},
		},
	}
}

func oddMember() *cellpb.Record {
	return &cellpb.Record{
		Body: &cellpb.Record_Member{
			Member: &cellpb.Member{
				Id:      "other",
				Address: "10.0.0.9:70000",
			},
		},
	}
}

func oddProgress() *cellpb.Record {
	return &cellpb.Record{
		Body: &cellpb.Record_Progress{
			Progress: &cellpb.Progress{
				Id:    "00000000000000ff",
				State: 77,
				Tasks: []*cellpb.Task{{
					Run:      1<<31 - 1,
					Step:     1<<31 - 1,
					Failures: -1,
				}},
			},
		},
	}
}
