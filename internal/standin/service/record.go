package service

import (
	"fmt"
	"os"
)

// openRecord opens Config.RecordFile for appending, if it is set.
func (s *Server) openRecord() error {
	if s.config.RecordFile == "" {
		return nil
	}
	file, err := os.OpenFile(s.config.RecordFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("record of runs: %w", err)
	}
	s.record = file
	return nil
}

// writeRecord appends the key of a run to the record file, if there is one.
func (s *Server) writeRecord(key string) error {
	if s.record == nil {
		return nil
	}
	if _, err := s.record.WriteString(key + "\n"); err != nil {
		return fmt.Errorf("record of runs: %w", err)
	}
	return nil
}
