package entry

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"radishpath.example/radishpath/logservice"
	"radishpath.example/radishpath/peer/peerpb"
)

func textOf(share string) string {
	return strings.Replace(testText, "share = 40", "share = "+share, 1)
}

func publishRecord(base int64, share string) *peerpb.DocumentRecord {
	return &peerpb.DocumentRecord{Base: base, Text: textOf(share), Author: "author " + share}
}

// follow returns documents that follow a log until the test ends.
func follow(t *testing.T, log *memoryLog) *documents {
	t.Helper()
	d := newDocuments(Config{Clock: log.clock, Log: log}.withDefaults())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.follow(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return d
}

// TestPublishConcurrent guards against two winners of a race, and against a loser that is not shown what it lost to.
func TestPublishConcurrent(t *testing.T) {
	log := newMemoryLog(clockwork.NewRealClock())
	all := []*documents{follow(t, log), follow(t, log), follow(t, log)}
	first, err := all[0].publish(t.Context(), publishRecord(0, "1"))
	require.NoError(t, err)
	require.Equal(t, int64(1), first)
	type result struct {
		revision int64
		err      error
	}
	results := make(chan result)
	for at, d := range all {
		go func() {
			revision, err := d.publish(t.Context(), publishRecord(first, []string{"11", "12", "13"}[at]))
			results <- result{revision, err}
		}()
	}
	var won int64
	var lost []*StaleBaseError
	for range all {
		got := <-results
		var stale *StaleBaseError
		if errors.As(got.err, &stale) {
			lost = append(lost, stale)
			continue
		}
		require.NoError(t, got.err)
		won = got.revision
	}
	require.Len(t, lost, 2)
	for _, d := range all {
		require.Eventually(t, func() bool {
			revision, _ := d.current()
			return revision == won
		}, 5*time.Second, time.Millisecond)
	}
	_, text := all[0].current()
	for _, stale := range lost {
		require.Equal(t, won, stale.Revision)
		require.Equal(t, text, stale.Text)
	}
}

// TestPublishOutcome guards against telling an operator of a lost or refused append what the log does not say.
func TestPublishOutcome(t *testing.T) {
	tests := []struct {
		name string
		text string
		set  func(log *memoryLog)
		err  error
	}{
		{"taken", textOf("2"), func(*memoryLog) {}, nil},
		{"answer lost", textOf("2"), func(log *memoryLog) { log.lose = true }, nil},
		{"append and answer lost", textOf("2"), func(log *memoryLog) { log.drop = true }, ErrUnknownOutcome},
		{"refused", textOf("2"), func(log *memoryLog) { log.refuse = true }, logservice.ErrRejected},
		{"not readable", textOf("2"), func(log *memoryLog) { log.blind = true }, ErrUnknownOutcome},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			log := newMemoryLog(clockwork.NewRealClock())
			d := follow(t, log)
			_, err := d.publish(t.Context(), publishRecord(0, "1"))
			require.NoError(t, err)
			log.set(test.set)
			log.set(func(log *memoryLog) { close(log.grown); log.grown = make(chan struct{}) })
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			if errors.Is(test.err, ErrUnknownOutcome) {
				cancel()
				ctx, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
			}
			defer cancel()
			revision, err := d.publish(ctx, &peerpb.DocumentRecord{Base: 1, Text: test.text})
			require.ErrorIs(t, err, test.err)
			if test.err == nil {
				require.Equal(t, int64(2), revision)
			}
		})
	}
}

// TestPublishInvalid guards against appending a text with faults.
func TestPublishInvalid(t *testing.T) {
	log := newMemoryLog(clockwork.NewRealClock())
	d := newDocuments(Config{Clock: log.clock, Log: log}.withDefaults())
	_, err := d.publish(t.Context(), &peerpb.DocumentRecord{Text: "[zone"})
	require.Error(t, err)
	require.Empty(t, log.records[documentStream])
}

// TestPublishInexact guards against a publish that this entry cannot judge: its operator would be told that it lost,
// and it would take effect later.
func TestPublishInexact(t *testing.T) {
	log := newMemoryLog(clockwork.NewRealClock())
	for _, share := range []string{"1", "2", "3"} {
		data, err := proto.Marshal(publishRecord(int64(len(log.records[documentStream])), share))
		require.NoError(t, err)
		_, err = log.Append(t.Context(), documentStream, data)
		require.NoError(t, err)
	}
	log.first = 2
	d := follow(t, log)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := d.publish(ctx, publishRecord(3, "4"))
	require.ErrorIs(t, err, logservice.ErrRejected)
	require.Len(t, log.records[documentStream], 3, "nothing was appended")

	d.offer(&peerpb.Document{Revision: 3, Text: textOf("3")})
	revision, err := d.publish(t.Context(), publishRecord(3, "4"))
	require.NoError(t, err)
	require.Equal(t, int64(4), revision)
}

// TestDocumentsOffer guards against going back to a lower revision, and against naming a later publish's revision to
// the operator of an earlier one.
func TestDocumentsOffer(t *testing.T) {
	log := newMemoryLog(clockwork.NewRealClock())
	d := newDocuments(Config{Clock: log.clock, Log: log}.withDefaults())
	d.offer(&peerpb.Document{Revision: 3, Text: textOf("3")})
	d.offer(&peerpb.Document{Revision: 2, Text: textOf("2")})
	d.offer(&peerpb.Document{Revision: 9, Text: "[zone"})
	revision, text := d.current()
	require.Equal(t, int64(3), revision)
	require.Equal(t, textOf("3"), text)
	for base, share := range []string{"1", "2", "3"} {
		data, err := proto.Marshal(publishRecord(int64(base), share))
		require.NoError(t, err)
		_, err = log.Append(t.Context(), documentStream, data)
		require.NoError(t, err)
	}
	require.NoError(t, d.readOnce(t.Context()))
	for offset := range int64(3) {
		result, ok := d.result(offset, nil)
		require.True(t, ok)
		require.True(t, result.Applied)
		require.Equal(t, offset+1, result.Revision)
	}
}

// TestDocumentsRepeatedPage guards against a log that returns records below the offset that was asked for.
func TestDocumentsRepeatedPage(t *testing.T) {
	log := newMemoryLog(clockwork.NewRealClock())
	d := follow(t, log)
	_, err := d.publish(t.Context(), publishRecord(0, "1"))
	require.NoError(t, err)
	d.mu.Lock()
	data := log.records[documentStream][0]
	d.apply(logservice.Record{Offset: 0, Data: data})
	d.mu.Unlock()
	result, _ := d.result(0, nil)
	require.True(t, result.Applied)
}
