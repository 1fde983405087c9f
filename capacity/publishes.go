package main

import (
	"fmt"
	"time"

	"radishpath.example/radishpath/operator"
)

// publishes measures edits of a small and of a large document.
func (s *study) publishes() error {
	for _, size := range []struct {
		workspaces int
		rates      []int
	}{
		{
			workspaces: smallDocument,
			rates:      []int{1, 4, 16},
		},
		{
			workspaces: largeDocument,
			rates:      []int{1, 2, 4},
		},
	} {
		title := fmt.Sprintf("Publishes of a document of %d workspaces, %d bytes", size.workspaces,
			len(documentText(size.workspaces, 0)))
		table := s.table(title, "publish/s")
		for _, rate := range size.rates {
			if err := s.publishRate(table, rate, size.workspaces); err != nil {
				return err
			}
		}
	}
	return nil
}

// publishRate publishes at a rate during a measurement and waits until the last revision is in effect everywhere.
func (s *study) publishRate(table *series, rate, workspaces int) error {
	client := s.admin(s.nonPlacer())
	stop := make(chan struct{})
	result := make(chan error, 1)
	published := 0
	begun := s.clock.Now()
	go func() {
		for {
			due := begun.Add(time.Duration(published) * time.Second / time.Duration(rate))
			select {
			case <-stop:
				result <- nil
				return
			case <-s.clock.After(s.clock.Until(due)):
			}
			if err := s.publish(client, documentText(workspaces, published+1)); err != nil {
				result <- err
				return
			}
			published++
		}
	}()
	roles, err := s.measure(nil)
	seconds := s.clock.Since(begun).Seconds()
	close(stop)
	if publishErr := <-result; publishErr != nil {
		return publishErr
	}
	if err != nil {
		return err
	}
	reached := float64(published) / seconds
	table.addUsage(reached, roles)
	table.add(reached, "operator", "offered, publish/s", float64(rate))
	ended := s.clock.Now()
	if err = s.awaitEffect(client); err != nil {
		return err
	}
	table.add(reached, "operator", "last revision in effect everywhere after, s", s.clock.Since(ended).Seconds())
	return nil
}

func (s *study) awaitEffect(client *operator.Client) error {
	return s.await("document in effect", func() (bool, error) {
		current, err := client.Document(s.Context())
		if err != nil {
			return false, fmt.Errorf("read document: %w", err)
		}
		status, err := client.Status(s.Context(), current.Revision)
		return status.Effect, err
	})
}
